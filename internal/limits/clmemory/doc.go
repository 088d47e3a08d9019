// Package clmemory limits the memory that a process holds for its peers. It decides
// which reservations are granted and which unfinished transfer gives its memory back
// when the budget is short. It does no I/O and reads no clock.
package clmemory
