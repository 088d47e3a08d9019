// Package clframing checks that what a peer sends is a sequence of well-formed HTTP/1.1
// responses (RFC 9112), before a parser that is more tolerant reads it. It is stricter than
// the grammar where a gateway may be: lines end with CRLF, field lines are not folded, and
// the only transfer coding is chunked.
package clframing
