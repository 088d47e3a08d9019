// Package clwait waits: once, or again and again, until a context ends.
package clwait
