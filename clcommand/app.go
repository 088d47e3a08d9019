// This file defines the command tree and how it is run.

package clcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// App is the command line; its fields are set before Run.
type App struct {
	// Daemons are the subcommands that serve, `entry` and `control`.
	Daemons []*cli.Command
	// Stdin, Stdout and Stderr default to those of the process.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Now defaults to time.Now; its location is the one that "18:00" refers to.
	Now func() time.Time
}

// Run runs the command that args name, args[0] being the program, prints its
// error if it fails, and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) ExitCode {
	a.setDefaults()
	err := a.Command().Run(ctx, args)
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintln(a.Stderr, "chestnutlead:", err)
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	// Errors of actions are always an Error; what remains comes from the parser.
	fmt.Fprintln(a.Stderr, "see chestnutlead --help")
	return ExitUsage
}

// Daemon returns the subcommand `name --settings FILE`; run returns when ctx is done and the process is drained.
func Daemon(name, usage string, run func(ctx context.Context, settingsFile string) error) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		Description: "docs/settings.md lists all settings.\n\n" + exitCodesHelp,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd, 0); err != nil {
				return err
			}
			return run(ctx, cmd.String("settings"))
		},
	}
}

// Command returns the whole command tree.
func (a *App) Command() *cli.Command {
	a.setDefaults()
	root := &cli.Command{
		Name:        "chestnutlead",
		Usage:       "serving on reclaimable instances: daemons and operators' commands",
		Description: exitCodesHelp,
		Flags:       clientFlags(),
		Reader:      a.Stdin,
		Writer:      a.Stdout,
		ErrWriter:   a.Stderr,
		// The exit code is returned by Run; the library would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	root.Commands = append(root.Commands, a.Daemons...)
	root.Commands = append(root.Commands, a.applyCommand(), a.configCommand(), a.intentCommand(), a.planCommand(),
		a.statusCommand(), a.accountCommand(), a.checkSettingsCommand())
	prepare(root)
	return root
}

func (a *App) setDefaults() {
	if a.Stdin == nil {
		a.Stdin = os.Stdin
	}
	if a.Stdout == nil {
		a.Stdout = os.Stdout
	}
	if a.Stderr == nil {
		a.Stderr = os.Stderr
	}
	if a.Now == nil {
		a.Now = time.Now
	}
}

// prepare gives every action's error an exit code, and makes a command that
// only groups others refuse names that it does not know.
func prepare(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return &Error{Code: ExitUsage, Reason: "wrong usage", Err: err, Remedy: "see `" + cmd.FullName() + " --help`"}
	}
	action := cmd.Action
	if action == nil {
		action = group
	}
	cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
		err := action(ctx, cmd)
		var e *Error
		if err == nil || errors.As(err, &e) {
			return err
		}
		return &Error{Code: ExitFailure, Reason: cmd.Name, Err: err}
	}
	for _, sub := range cmd.Commands {
		prepare(sub)
	}
}

func group(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usagef("%s has no command %q; see `%s --help`", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// arguments returns exactly n arguments or an error of usage.
func arguments(cmd *cli.Command, n int) ([]string, error) {
	if cmd.Args().Len() != n {
		return nil, usagef("%s takes %d arguments, not %d; see `%s --help`", cmd.FullName(), n, cmd.Args().Len(), cmd.FullName())
	}
	return cmd.Args().Slice(), nil
}
