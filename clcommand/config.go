// This file defines the commands that change and read the configuration.

package clcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

func (a *App) applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "adds or replaces the services, data centres and accounts of a file",
		Description: "The file is YAML or JSON with the lists services, data_centres, accounts, remove_services and\n" +
			"remove_accounts. Durations are written 24h, key hashes as `account key` prints them.\n\n" + exitCodesHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "configuration `FILE`, - for standard input", Required: true},
			&cli.Uint64Flag{Name: "if-revision", Usage: "refuse the change unless `REVISION` is the current one"},
		},
		Action: a.apply,
	}
}

func (a *App) apply(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	text, err := a.readFile(cmd.String("file"))
	if err != nil {
		return err
	}
	req, err := decodeConfig(text)
	if err != nil {
		return err
	}
	if cmd.IsSet("if-revision") {
		req.IfRevision = cmd.Uint64("if-revision")
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	resp, err := invoke(ctx, s, call{"apply " + cmd.String("file"), "chestnutlead config get"}, s.Apply, req)
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		return printMessage(a.Stdout, resp)
	}
	fmt.Fprintf(a.Stdout, "accepted as revision %d\n", resp.GetRevision())
	return nil
}

func (a *App) readFile(path string) ([]byte, error) {
	text, err := []byte(nil), error(nil)
	if path == "-" {
		text, err = io.ReadAll(a.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &Error{Code: ExitFailure, Reason: "configuration file", Err: err, Remedy: "name a readable file with -f"}
	}
	return text, nil
}

func (a *App) configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "reads the configuration",
		Commands: []*cli.Command{{
			Name:        "get",
			Usage:       "prints the configuration in force",
			Description: exitCodesHelp,
			Action:      a.configGet,
		}},
	}
}

func (a *App) configGet(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	resp, err := invoke(ctx, s, call{what: "read the configuration"}, s.GetConfig, &clwire.GetConfigRequest{})
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		return printMessage(a.Stdout, resp.GetConfig())
	}
	a.printConfig(resp.GetConfig())
	return nil
}

func (a *App) printConfig(c *clstate.ConfigSnapshot) {
	loc := a.Now().Location()
	fmt.Fprintf(a.Stdout, "revision %d of %s\n\n", c.GetRevision(), timeText(c.GetProposedAt(), loc))
	services := &table{header: []string{"SERVICE", "KIND", "VERSIONS", "ACTIVE", "DATA CENTRES", "SLOTS"}}
	for _, s := range c.GetServices() {
		versions := lo.Map(s.GetVersions(), func(v *clstate.Version, _ int) string { return v.GetName() })
		services.add(s.GetName(), enumText(s.GetKind().String(), "SERVICE_KIND_"), strings.Join(versions, ","),
			s.GetActiveVersion(), strings.Join(s.GetDataCentres(), ","), fmt.Sprintf("%d to %d", s.GetColdSlots(), s.GetMaxSlots()))
	}
	services.print(a.Stdout)
	fmt.Fprintln(a.Stdout)
	centres := &table{header: []string{"DATA CENTRE", "REGION", "STATE"}}
	for _, d := range c.GetDataCentres() {
		centres.add(d.GetName(), d.GetRegion(), enumText(d.GetState().String(), "DATA_CENTRE_STATE_"))
	}
	centres.print(a.Stdout)
	fmt.Fprintln(a.Stdout)
	accounts := &table{header: []string{"ACCOUNT", "KEYS", "WEIGHT"}}
	for _, acc := range c.GetAccounts() {
		accounts.add(acc.GetName(), strconv.Itoa(len(acc.GetKeySha256())), strconv.Itoa(int(max(acc.GetWeight(), 1))))
	}
	accounts.print(a.Stdout)
	if len(c.GetMoves()) == 0 {
		return
	}
	fmt.Fprintln(a.Stdout)
	moves := &table{header: []string{"MOVE", "FROM", "TO", "SHARE", "BY", "PLAN"}}
	for _, m := range c.GetMoves() {
		moves.add(m.GetService(), m.GetFromVersion(), m.GetToVersion(), shareText(m.GetSharePermille()),
			timeText(m.GetDeadline(), loc), m.GetPlanId())
	}
	moves.print(a.Stdout)
}

// shareText writes thousandths as per cent.
func shareText(permille uint32) string {
	return strconv.FormatFloat(float64(permille)/10, 'f', -1, 64) + "%"
}
