// Command chestnutlead runs the daemons and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{Name: "chestnutlead", Usage: "serving on reclaimable instances"}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutlead:", err)
		os.Exit(1)
	}
}
