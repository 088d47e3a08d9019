// Command chestnutstand runs the simulated outside systems: the platform, a
// model engine and a plain booking service.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/chestnutlead/chestnutlead/clstandin"
)

// standIn is what the commands have in common.
type standIn interface {
	Start() error
	Addr() netip.AddrPort
	Shutdown(ctx context.Context) error
}

// drainTimeout limits the graceful shutdown after SIGTERM.
const drainTimeout = time.Minute

// onStart is called with the address of a started stand-in; tests replace it.
var onStart = func(netip.AddrPort) {}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name: "chestnutstand", Usage: "simulated outside systems for tests and the demo",
		Commands: []*cli.Command{platformCommand(), engineCommand(), bookingCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutstand:", err)
		os.Exit(1)
	}
}

// commonFlags are the flags of all stand-ins.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on; port 0 picks a free port"},
		&cli.StringFlag{Name: "admin-listen", Usage: "second address for the admin API, reachable during refuse_connections"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of faults by probability"},
		&cli.StringFlag{Name: "faults", Usage: "initial fault switches as JSON, in the form of POST /admin/faults"},
	}
}

// configure sets the common fields of a stand-in.
func configure(cmd *cli.Command, s *clstandin.Server) error {
	var err error
	if s.Listen, err = netip.ParseAddrPort(cmd.String("listen")); err != nil {
		return errors.Wrap(err, "--listen")
	}
	if a := cmd.String("admin-listen"); a != "" {
		if s.AdminListen, err = netip.ParseAddrPort(a); err != nil {
			return errors.Wrap(err, "--admin-listen")
		}
	}
	s.Seed = cmd.Uint64("seed")
	return parseJSON(cmd, "faults", &s.Faults)
}

func parseJSON(cmd *cli.Command, flag string, v any) error {
	text := cmd.String(flag)
	if text == "" {
		return nil
	}
	if err := json.Unmarshal([]byte(text), v); err != nil {
		return errors.Wrap(err, "--"+flag)
	}
	return nil
}

// run starts a stand-in, prints its address and serves until a signal.
func run(ctx context.Context, name string, s standIn) error {
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Printf("chestnutstand %s: listening on %s\n", name, s.Addr())
	onStart(s.Addr())
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return s.Shutdown(drain)
}
