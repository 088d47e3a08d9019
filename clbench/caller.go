// This file defines callers that cost little CPU themselves.

package clbench

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	callerWorkers = 512
	callerTimeout = 5 * time.Second
	dispatchEvery = time.Millisecond
	openParallel  = 64
)

type (
	// requester sends one request at a rate over kept connections.
	requester struct {
		addr, key string
		body      []byte
		client    *fasthttp.HostClient
	}

	// load is the result of one run.
	load struct {
		latency *hdrhistogram.Histogram
		failed  int
		err     error
		took    time.Duration
		mu      sync.Mutex
	}

	// streams holds open streams and counts their tokens.
	streams struct {
		addr, key      string
		body           []byte
		mu             sync.Mutex
		conns          []net.Conn
		tokens, broken atomic.Int64
		closing        atomic.Bool
	}
)

var (
	eventStart = []byte("data: ")
	errStatus  = errors.New("the status is not 200")
	errNotSent = errors.New("all callers are busy")
)

// run offers a rate; a request is due at its time whatever became of others.
// Latency counts from the time the request is handed to a caller.
func (q *requester) run(ctx context.Context, rate int, length time.Duration) *load {
	if q.client == nil {
		q.client = &fasthttp.HostClient{Addr: q.addr, MaxConns: callerWorkers, ReadTimeout: callerTimeout, WriteTimeout: callerTimeout}
	}
	l := &load{latency: newHistogram()}
	due := make(chan time.Time, callerWorkers)
	var g sync.WaitGroup
	for range callerWorkers {
		g.Add(1)
		go func() {
			defer g.Done()
			q.loop(l, due)
		}()
	}
	start := time.Now()
	t := time.NewTicker(dispatchEvery)
	defer t.Stop()
	for sent := 0; time.Since(start) < length && ctx.Err() == nil; <-t.C {
		for want := int(time.Since(start).Seconds() * float64(rate)); sent < want; sent++ {
			select {
			case due <- time.Now():
			default:
				l.add(0, errNotSent)
			}
		}
	}
	l.took = time.Since(start)
	close(due)
	g.Wait()
	return l
}

func (q *requester) loop(l *load, due <-chan time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + q.addr + "/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.SetContentType("application/json")
	req.SetBody(q.body)
	for at := range due {
		err := q.client.Do(req, resp)
		if err == nil && resp.StatusCode() != fasthttp.StatusOK {
			err = errors.Wrapf(errStatus, "status %d: %.200s", resp.StatusCode(), resp.Body())
		}
		l.add(time.Since(at), err)
	}
}

func (l *load) add(took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		record(l.latency, took)
		return
	}
	l.failed++
	if l.err == nil {
		l.err = err
	}
}

// open opens streams until n are open.
func (s *streams) open(ctx context.Context, n int) error {
	errs := make(chan error, n)
	limit := make(chan struct{}, openParallel)
	missing := n - len(s.conns)
	for range missing {
		limit <- struct{}{}
		go func() {
			errs <- s.start(ctx)
			<-limit
		}()
	}
	var failed error
	for range missing {
		failed = errors.Join(failed, <-errs)
	}
	return failed
}

func (s *streams) start(ctx context.Context) error {
	d := net.Dialer{Timeout: callerTimeout}
	c, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "open a stream")
	}
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		s.addr, s.key, len(s.body))
	if _, err := c.Write(append([]byte(head), s.body...)); err != nil {
		return errors.Wrap(err, "open a stream")
	}
	go s.read(c)
	return nil
}

// read counts events; one that is split between two reads is not counted, which
// is rare because each is written at once.
func (s *streams) read(c net.Conn) {
	b := make([]byte, 4<<10)
	for {
		n, err := c.Read(b)
		s.tokens.Add(int64(bytes.Count(b[:n], eventStart)))
		if err != nil {
			if !s.closing.Load() {
				s.broken.Add(1)
			}
			return
		}
	}
}

func (s *streams) close() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close() // The stream is abandoned.
	}
}
