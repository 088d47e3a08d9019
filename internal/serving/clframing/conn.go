// This file defines connections whose peer's responses are checked.

package clframing

import (
	"context"
	"net"
)

type (
	// Conn is a connection to a server, from which only well-formed responses can be read.
	// It is for clients that send one request at a time, and no HEAD.
	Conn struct {
		net.Conn
		responses Reader
	}

	// DialFunc is the dial function of an HTTP transport.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// NewConn returns a connection that reads the responses from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, responses: Reader{R: c}} }

// Dial returns a dial function that checks the responses on the connections of dial.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.responses.Read(p) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.responses.Expect(false)
	return c.Conn.Write(p)
}
