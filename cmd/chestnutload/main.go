// Command chestnutload generates load and compares its reports.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutlead/chestnutlead/clbench"
	"github.com/chestnutlead/chestnutlead/clload"
	"github.com/chestnutlead/chestnutlead/internal/testing/clpattern"
	"github.com/chestnutlead/chestnutlead/internal/testing/clsoak"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	cmd := &cli.Command{Name: "chestnutload", Usage: "open-loop load for entries", Commands: append(clload.Commands(), demoCommand(), clbench.Command(), clpattern.Command(), clsoak.Command())}
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutload:", err)
		os.Exit(1)
	}
}
