// Package clmember decides which processes of the fleet are alive and spreads
// short-lived facts and configuration revisions among them.
//
// A Core does no I/O and reads no clock: the shell passes events and a time,
// performs the calls of the returned Output and reports their results. A Core
// is not safe for concurrent use.
//
// Membership follows SWIM: one peer is probed per interval, an unanswered
// probe is repeated through other members, and a member that stays silent is
// suspected and later declared dead. A member refutes a suspicion or its death
// by raising its incarnation. Changes and facts are piggybacked on the probes,
// a bounded number per message, and repaired by a regular exchange of the
// full state.
//
// The messages are plain structs. Package clwire's generated twirp code
// imports net/http, which core packages may not do, and its messages take more
// memory per member; the shell converts between the two.
package clmember
