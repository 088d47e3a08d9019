// This file defines the commands that need no server.

package clcommand

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/urfave/cli/v3"
)

// accountKeyBytes makes keys as hard to guess as their SHA-256.
const accountKeyBytes = 32

func (a *App) accountCommand() *cli.Command {
	return &cli.Command{
		Name:  "account",
		Usage: "helps with accounts",
		Commands: []*cli.Command{{
			Name:  "key",
			Usage: "makes a random key and prints it with its SHA-256",
			Description: "The caller gets the key; the configuration gets the SHA-256, in the account's key_sha256.\n" +
				"The key is kept nowhere.\n\n" + exitCodesHelp,
			Action: a.accountKey,
		}},
	}
}

func (a *App) accountKey(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	random := make([]byte, accountKeyBytes)
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(random)
	key := base64.RawURLEncoding.EncodeToString(random)
	sum := sha256.Sum256([]byte(key))
	if wantsJSON(cmd) {
		return printJSON(a.Stdout, map[string]string{"key": key, "key_sha256": hex.EncodeToString(sum[:])})
	}
	fmt.Fprintf(a.Stdout, "key:        %s\nkey_sha256: %s\n", key, hex.EncodeToString(sum[:]))
	return nil
}

func (a *App) checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "check-settings",
		Usage:       "checks a settings file and lists all its problems",
		ArgsUsage:   "entry|control FILE",
		Description: "docs/settings.md lists all sections and keys.\n\n" + exitCodesHelp,
		Action:      a.checkSettings,
	}
}

func (a *App) checkSettings(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 2)
	if err != nil {
		return err
	}
	switch args[0] {
	case "entry":
		_, err = clsettings.LoadEntry(args[1])
	case "control":
		_, err = clsettings.LoadControl(args[1])
	default:
		return usagef("check-settings knows entry and control, not %q", args[0])
	}
	if err != nil {
		return &Error{Code: ExitFailure, Reason: "settings are not valid", Err: err}
	}
	fmt.Fprintf(a.Stdout, "%s: settings are valid\n", args[1])
	return nil
}
