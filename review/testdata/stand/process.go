// This file defines workers that are processes of their own, so that they can crash.

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

type (
	// workerProcess is a worker that runs as a process of its own.
	workerProcess struct {
		id    string
		addr  netip.AddrPort
		cmd   *exec.Cmd
		ended chan struct{}
	}

	// unframedWorker answers without a length and without chunks: an answer ends with
	// its connection, as the pages allow.
	unframedWorker struct{ id string }
)

const (
	// unframedEvents are the pieces of an answer, and pieceGap the time between them.
	unframedEvents = 12
	pieceGap       = 100 * time.Millisecond
)

// startWorker starts a process that answers without a length.
func (f *fleet) startWorker(id string, addr netip.AddrPort) (*workerProcess, error) {
	return f.startProcess("-worker", id, addr)
}

// startProcess starts a worker process that listens on addr, and copies what it writes
// to the record. kind is the flag that says what it is.
func (f *fleet) startProcess(kind, id string, addr netip.AddrPort) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &workerProcess{id: id, addr: addr, cmd: exec.Command(self, kind, id, "-listen", addr.String()), ended: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go func() {
		for sc := bufio.NewScanner(out); sc.Scan(); {
			if sc.Text() == "listening" {
				close(listening)
				continue
			}
			f.record.addf("%s", sc.Text())
		}
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	select {
	case <-listening:
		return p, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("worker %s does not listen", id)
	}
}

// crash ends the worker as a crash does: it sends nothing, and its connections close.
func (f *fleet) crash(p *workerProcess) {
	err := p.cmd.Process.Kill()
	f.record.addf("worker %s crashes, error %v", p.id, err)
}

// runWorker serves requests until the process is killed.
func runWorker(id, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go (&unframedWorker{id}).serve(c)
	}
}

// serve answers one request of a connection, and closes it. The pieces of the answer
// are the same for streams and for other requests.
func (w *unframedWorker) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := r.Header.Get(cladapter.HeaderRequestID)
	if r.Header.Get(cladapter.HeaderInstance) != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", cladapter.HeaderRequestID, id)
		return
	}
	fmt.Printf("worker %s begins to run %s\n", w.id, id)
	contentType := "text/plain"
	if !strings.HasPrefix(r.URL.Path, "/book/") {
		contentType = "text/event-stream"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		cladapter.HeaderRequestID, id, cladapter.HeaderSeal, w.id, id, contentType)
	for n := 1; n <= unframedEvents; n++ {
		if _, err := fmt.Fprint(c, piece(id, n)); err != nil {
			return
		}
		fmt.Printf("worker %s sends piece %d of %d of %s\n", w.id, n, unframedEvents, id)
		time.Sleep(pieceGap)
	}
	fmt.Printf("worker %s has answered %s\n", w.id, id)
}

// piece returns a piece of the answer to a request.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }
