// Package clwire holds the messages and twirp services between the system's
// own processes and for operators; the code is generated from its schemas.
package clwire
