// Command chestnutlead runs the daemons and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutlead/chestnutlead/clcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	app := &clcommand.App{Daemons: daemons()}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(int(code))
}
