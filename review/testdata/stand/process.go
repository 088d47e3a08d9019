// This file defines workers that are processes of their own, so that they can crash.

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// workerProcess is a worker that runs as a process of its own.
type workerProcess struct {
	id    string
	addr  netip.AddrPort
	cmd   *exec.Cmd
	ended chan struct{}
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

// piece returns a piece of the answer to a request.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// freeAddress returns a free loopback address.
func freeAddress() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}
