// Package clbooking keeps a record of calls that may run at most once.
//
// The records of a service are spread over partitions. A partition is a log of
// numbered batches in slots that are used in turn, a head, which is the
// checkpoint of the log, and immutable sealed segments that the head lists. Any
// number of processes may write a partition: safety rests on conditional
// updates alone. Who writes a batch knows all batches before it and the head's
// segments, and replaces a batch that the head includes. An update that
// succeeds therefore proves that no other claim of its keys exists.
//
// Partition decides without I/O which object call comes next, Policy when to
// write, Judge what a stored record means for a caller. Writer runs one
// partition against a clstore.Store, and Ledger all partitions of a service.
//
// The rule for callers: only the process that made an attempt may send its
// call, once, and only after Ledger.Begin returned VerdictProceed. A claim
// never times out into a second run. A process paused for longer than the
// resend window between Begin and sending is outside this guarantee, as is a
// client that reuses an opaque key after the window.
package clbooking
