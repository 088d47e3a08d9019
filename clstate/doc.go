// Package clstate holds the messages of the objects kept in the platform's
// object API; the code is generated from state.proto.
package clstate
