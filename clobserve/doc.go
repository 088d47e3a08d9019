// Package clobserve provides logs, metrics and health of a process; it keeps
// no global state, so several processes can run in one test.
package clobserve
