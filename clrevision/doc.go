// Package clrevision handles the configuration, which is one object with one
// revision number.
//
// Validate checks a snapshot, Next builds the next revision from a change, and
// Proposer stores it by a conditional update and resolves lost answers by the
// proposal ID. Holder applies only higher revisions, and Readiness says when a
// starting process may take work.
package clrevision
