// Package clpeer connects the system's own processes: it runs the membership
// core over twirp, spreads facts and configuration revisions, and carries the
// calls by which entries share booking partitions and slots.
package clpeer
