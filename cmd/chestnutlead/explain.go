// This file defines the command that explains what happened to a request.

package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/chestnutlead/chestnutlead/internal/operator/clexplain"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// explainCommand returns the subcommand `explain REQUEST [FILE...]`.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from gateways' logs what happened to a request",
		ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads standard input if no file is given. docs/OPERATIONS.md shows it on three kinds of failed\n" +
			"request.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return errors.New("name the request: chestnutlead explain REQUEST [FILE...]")
			}
			logs, closeAll, err := openLogs(cmd.Args().Tail(), cmd.Root().Reader)
			if err != nil {
				return err
			}
			defer closeAll()
			h, err := clexplain.ReadHistory(cmd.Args().First(), logs...)
			if err != nil {
				return err
			}
			if !cmd.Bool("json") {
				return h.WriteText(cmd.Root().Writer)
			}
			enc := json.NewEncoder(cmd.Root().Writer)
			enc.SetIndent("", "  ")
			return enc.Encode(h)
		},
	}
}

// openLogs opens the files, or returns standard input if there are none.
func openLogs(names []string, stdin io.Reader) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			// The files were only read.
			_ = f.Close()
		}
	}
	if len(names) == 0 {
		return []io.Reader{stdin}, closeAll, nil
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "open the log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
