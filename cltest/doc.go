// Package cltest holds what the tests of several packages share. Only tests
// import it.
package cltest
