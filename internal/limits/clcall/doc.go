// Package clcall limits the calls that a process makes to its peers of its own accord,
// apart from the requests that it forwards: how many are in progress for one peer and
// altogether, how long each takes, and what memory they hold. Callers that ask for the
// same call at the same time share one.
package clcall
