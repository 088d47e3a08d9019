// Package clmalformed lists what a server in trouble may send in place of a well-formed
// HTTP/1.1 response, for tests of clients and for stand-ins of servers.
package clmalformed
