// This file tests how stand-ins are started.

package clharness

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProcessLogged guards against the word of a former start that is taken for
// that of the present one.
func TestProcessLogged(t *testing.T) {
	dir := t.TempDir()
	for _, text := range []string{"first", "second"} {
		p, err := StartProcess(dir, "echo", "/bin/echo", text)
		require.NoError(t, err)
		<-p.done
		require.Equal(t, text == "first", p.Logged("first"))
		require.True(t, p.Logged(text))
	}
}

// TestStartAtTakenAddress guards against a stand-in that could not bind its
// address and is taken for started because another process answers there.
func TestStartAtTakenAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	foreign := &http.Server{Handler: ok, ReadHeaderTimeout: time.Second}
	go func() { _ = foreign.Serve(l) }() // It ends with Close.
	t.Cleanup(func() { _ = foreign.Close() })
	bin := t.TempDir()
	require.NoError(t, os.Symlink("/bin/false", filepath.Join(bin, "chestnutstand")))
	admin, err := freeAddr()
	require.NoError(t, err)
	f := &Fleet{WorkDir: t.TempDir(), BinDir: bin}
	s := &StandIn{Addr: netip.MustParseAddrPort(l.Addr().String()), Admin: admin}
	require.ErrorContains(t, f.startStandIn(s, "engine", "engine"), "ended at its start")
}
