// This file defines one process of the fleet.

package clharness

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is a running process; its output goes to a file in the work folder.
type Process struct {
	Name string
	// LogPath holds the process's output.
	LogPath string

	// logStart is the length of the log before this start.
	logStart int

	cmd    *exec.Cmd
	done   chan struct{}
	mu     sync.Mutex
	paused bool
	err    error
}

const (
	killWait  = 5 * time.Second
	probeWait = 50 * time.Millisecond
	firstPort = 12000
	portCount = 20000
)

var (
	// portOffset keeps harnesses that run at the same time apart.
	portOffset = os.Getpid() * 101 % portCount
	portsGiven atomic.Int64
)

// StartProcess starts a binary with arguments.
func StartProcess(workDir, name, binary string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(workDir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	if st, err := log.Stat(); err == nil {
		p.logStart = int(st.Size())
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The child dies with the harness, so that an aborted run leaves nothing behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s; run `make build` first", name)
	}
	go p.run(log)
	return p, nil
}

// Logged reports whether the process has written the text to its log since this start.
func (p *Process) Logged(text string) bool {
	b, err := os.ReadFile(p.LogPath)
	return err == nil && bytes.Contains(b[min(p.logStart, len(b)):], []byte(text))
}

// run waits for the process's end.
func (p *Process) run(log *os.File) {
	p.err = p.cmd.Wait()
	_ = log.Close() // The process has written all it had.
	close(p.done)
}

// PID returns the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once, as an unannounced failure does.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // It may have ended already.
	<-p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // It may have ended already.
}

// Stop asks the process to shut down and waits until it has ended.
func (p *Process) Stop(timeout time.Duration) error {
	p.Continue()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // It may have ended already.
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Kill()
		return errors.Errorf("%s did not end within %s of SIGTERM", p.Name, timeout)
	}
}

// Pause freezes the process until Continue.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // It may have ended already.
}

// Continue resumes a paused process.
func (p *Process) Continue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		p.paused = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// freeAddr returns a loopback address that no process listens on. Its port is
// below those that outgoing connections get, and is given out once: a port from
// the system's own choice may be taken again before its process binds it, or
// while the process is being restarted.
func freeAddr() (netip.AddrPort, error) {
	for range portCount {
		port := firstPort + (portOffset+int(portsGiven.Add(1)))%portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue // Another process has it.
		}
		return addr, l.Close()
	}
	return netip.AddrPort{}, errors.Errorf("no port from %d to %d is free", firstPort, firstPort+portCount-1)
}

// waitFor polls until ok returns true.
func waitFor(timeout time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			return errors.Errorf("%s did not happen within %s", what, timeout)
		}
		time.Sleep(probeWait)
	}
	return nil
}
