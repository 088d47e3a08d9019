// Command chestnutlead runs the daemons and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutlead/chestnutlead/clcommand"
	"github.com/urfave/cli/v3"
)

// daemons returns the serving subcommands, made with clcommand.Daemon. The
// first SIGINT or SIGTERM ends their context, upon which they drain and return.
func daemons() []*cli.Command { return nil }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	app := &clcommand.App{Daemons: daemons()}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(int(code))
}
