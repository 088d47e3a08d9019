// This file defines a client connection that is kept between requests.

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

type (
	// request is a client's request.
	request struct {
		method, path, id string
		deadline         time.Duration
		header           map[string]string
		body             string
	}

	// answer is what the client has got; status is 0 if the connection ended, or the
	// client's time was over, before an answer began.
	answer struct {
		status  int
		seal    string
		id      string
		body    string
		whole   bool
		err     error
		elapsed time.Duration
	}

	// connection is a client's connection to a gateway.
	connection struct {
		net.Conn
		br *bufio.Reader
	}
)

// connectTimeout is how long clients allow for a new connection.
const connectTimeout = time.Second

func connect(addr netip.AddrPort) (*connection, error) {
	c, err := net.DialTimeout("tcp", addr.String(), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer, for as long as the client waits.
func (c *connection) do(r request) answer {
	began := time.Now()
	var b strings.Builder
	b.WriteString(r.method + " " + r.path + " HTTP/1.1\r\nHost: " + hostName + "\r\n")
	b.WriteString(cladapter.HeaderRequestID + ": " + r.id + "\r\n")
	b.WriteString(cladapter.HeaderDeadline + ": " + strconv.FormatInt(r.deadline.Milliseconds(), 10) + "\r\n")
	b.WriteString("Authorization: " + cladapter.Bearer + accountKey + "\r\n")
	for k, v := range r.header {
		b.WriteString(k + ": " + v + "\r\n")
	}
	if r.body != "" || r.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	b.WriteString("\r\n" + r.body)
	_ = c.SetDeadline(began.Add(r.deadline))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err, elapsed: time.Since(began)}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, elapsed: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{
		status: resp.StatusCode, seal: resp.Header.Get(cladapter.HeaderSeal), id: resp.Header.Get(cladapter.HeaderRequestID),
		body: string(body), whole: err == nil, err: err, elapsed: time.Since(began),
	}
}
