// This file defines the command that explains what happened to a request or to a duty.

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

// explanation is what the command prints.
type explanation interface{ WriteText(w io.Writer) error }

// explainCommand returns the subcommand `explain REQUEST [FILE...]`.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from gateways' logs what happened to a request",
		ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads standard input if no file is given. docs/OPERATIONS.md shows it on three kinds of failed\n" +
			"request.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.Int64Flag{Name: "window", Usage: "in place of a request, tell which tokens and leases stood behind the reports of usage window `N`"},
			&cli.BoolFlag{Name: "duties", Usage: "in place of a request, tell which tokens and leases stood behind all usage reports and scaling targets"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			files, ofDuties := cmd.Args().Slice(), cmd.IsSet("window") || cmd.Bool("duties")
			request := cmd.Args().First()
			if !ofDuties {
				if request == "" {
					return errors.New("name the request: chestnutlead explain REQUEST [FILE...]")
				}
				files = cmd.Args().Tail()
			}
			logs, closeAll, err := openLogs(files, cmd.Root().Reader)
			if err != nil {
				return err
			}
			defer closeAll()
			var e explanation
			if ofDuties {
				e, err = explainDuties(cmd, logs)
			} else {
				e, err = clexplain.ReadHistory(request, logs...)
			}
			if err != nil {
				return err
			}
			if !cmd.Bool("json") {
				return e.WriteText(cmd.Root().Writer)
			}
			enc := json.NewEncoder(cmd.Root().Writer)
			enc.SetIndent("", "  ")
			return enc.Encode(e)
		},
	}
}

// explainDuties explains the calls of the duties' holders, or those of one window.
func explainDuties(cmd *cli.Command, logs []io.Reader) (clexplain.Duties, error) {
	d, err := clexplain.ReadDuties(logs...)
	if err == nil && cmd.IsSet("window") {
		d = d.OfWindow(cmd.Int64("window"))
	}
	return d, err
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
