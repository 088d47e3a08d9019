// This file defines how a new connection is asked for the endpoint's boot ID.

package clendpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// identifyTimeout is as long as a slot waits for its request to be sent; a load
	// report is quick even at a busy endpoint.
	identifyTimeout = 500 * time.Millisecond
	// identifyID is the attempt ID of the request for the boot ID, which each connection
	// carries at most once.
	identifyID = "identify"
)

// identify reads the load report over the new connection and returns the
// connection if it leads to the start of the endpoint that the call is for.
func identify(ctx context.Context, c *conn, call Call, t Timeouts) (*conn, error) {
	l, keep, err := readLoad(ctx, c)
	if err != nil {
		_ = c.Conn.Close()
		return nil, errors.Wrap(err, "read the boot ID")
	}
	if l.BootID != call.BootID {
		_ = c.Conn.Close()
		return nil, &RestartedError{Want: call.BootID, Load: l}
	}
	if !keep || call.NewConnection && !c.echoes {
		// The endpoint answers one request per connection, or nothing tells a copy of
		// its report from the answer to a call that may not be repeated. The start is
		// as fresh as the report that was just read.
		_ = c.Conn.Close()
		if c, err = dial(ctx, call.Endpoint, t); err != nil {
			return nil, err
		}
	}
	c.boot = l.BootID
	return c, nil
}

// readLoad sends a request for the load report and reports whether the
// connection can carry another request.
func readLoad(ctx context.Context, c *conn) (Load, bool, error) {
	c.begin(ctx, Timeouts{FirstByte: identifyTimeout, BetweenReads: identifyTimeout})
	defer func() {
		if c.stop != nil {
			c.stop()
		}
	}()
	call := Call{Endpoint: c.addr, Method: http.MethodGet, Path: loadPath, AttemptID: identifyID}
	c.record(call)
	if _, err := c.send(call); err != nil {
		return Load{}, false, err
	}
	a, err := c.readAnswer(call, nil)
	if err != nil {
		return Load{}, false, err
	}
	if a.Status != http.StatusOK {
		return Load{}, false, errors.Errorf("%s answered %d", loadPath, a.Status)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxReportBytes))
	if err != nil {
		return Load{}, false, err
	}
	l, err := decodeLoad(b)
	return l, a.Body.(*body).kept, err
}
