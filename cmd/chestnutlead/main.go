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
	// The signals stay caught until the process exits, so that one that is repeated
	// doesn't end a drain. Who wants the process to end at once has SIGKILL.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &clcommand.App{Daemons: daemons()}
	os.Exit(int(app.Run(ctx, os.Args)))
}

// protectDaemon keeps a daemon running when its terminal or the reader of its log goes
// away. A daemon for which SIGHUP has a meaning catches it afterwards.
func protectDaemon() {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
}
