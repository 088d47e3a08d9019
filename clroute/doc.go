// Package clroute chooses the endpoint of each request attempt.
//
// A [Table] holds what one entry knows about endpoints: service, version, data
// centre, state, the last load report, slots held here, an approximate index of
// cached prompt prefixes, and a circuit per endpoint. [Table.Pick] returns the
// endpoint with the lowest expected first-token time among a bounded sample of
// those that pass the filters, with the reason, or a refusal that names the last
// filter that excluded an endpoint.
//
// [AssignVersion] divides requests between the versions of a move by their IDs.
// [Crashes] tracks requests that may crash the endpoints that run them.
// [ChooseHandover] says what becomes of work on an endpoint that is leaving.
//
// The package does no I/O and reads no clock, and random choices use the
// generator that the caller passes in. Its types are not safe for concurrent use.
package clroute
