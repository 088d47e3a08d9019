// This file defines the command that prints the system's status.

package clcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

type (
	// versionStatus is one row of `status versions`, made from configuration and status.
	versionStatus struct {
		Service       string `json:"service"`
		Version       string `json:"version"`
		Active        bool   `json:"active"`
		SharePermille uint32 `json:"share_permille"`
		Suspended     string `json:"suspended,omitempty"`
		Live          int    `json:"live"`
		Leaving       int    `json:"leaving"`
	}

	// statusView is the status and the versions derived from it.
	statusView struct {
		*clwire.GetStatusResponse
		versions []versionStatus
	}
)

var statusParts = []string{"endpoints", "versions", "plans", "leases", "processes"}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "prints endpoints, versions, plans, leases and processes",
		ArgsUsage:   "[" + strings.Join(statusParts, "|") + "]",
		Description: exitCodesHelp,
		Action:      a.status,
	}
}

func (a *App) status(ctx context.Context, cmd *cli.Command) error {
	parts := cmd.Args().Slice()
	if len(parts) > 1 || !lo.Every(statusParts, parts) {
		return usagef("status takes one of %s, or nothing", strings.Join(statusParts, ", "))
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	resp, err := invoke(ctx, s, call{what: "read the status"}, s.GetStatus, &clwire.GetStatusRequest{})
	if err != nil {
		return err
	}
	view := statusView{GetStatusResponse: resp}
	wanted := func(part string) bool { return len(parts) == 0 || parts[0] == part }
	if wanted("versions") && (!wantsJSON(cmd) || len(parts) == 1) {
		config, err := invoke(ctx, s, call{what: "read the configuration"}, s.GetConfig, &clwire.GetConfigRequest{})
		if err != nil {
			return err
		}
		view.versions = versionStatuses(config.GetConfig(), resp.GetEndpoints())
	}
	if wantsJSON(cmd) {
		return a.printStatusJSON(view, parts)
	}
	fmt.Fprintf(a.Stdout, "revision %d at %s, object API: %s\n", resp.GetRevision(), timeText(resp.GetAt(), a.Now().Location()), resp.GetObjectApi())
	for _, part := range statusParts {
		if wanted(part) {
			fmt.Fprintln(a.Stdout)
			a.statusTable(view, part).print(a.Stdout)
		}
	}
	return nil
}

// printStatusJSON prints one part as a list, or the whole message.
func (a *App) printStatusJSON(view statusView, parts []string) error {
	if len(parts) == 0 {
		return printMessage(a.Stdout, view.GetStatusResponse)
	}
	var items any
	var err error
	switch parts[0] {
	case "endpoints":
		items, err = listJSON(view.GetEndpoints())
	case "versions":
		items = view.versions
	case "plans":
		items, err = listJSON(view.GetPlans())
	case "leases":
		items, err = listJSON(view.GetLeases())
	case "processes":
		items, err = listJSON(view.GetProcesses())
	}
	if err != nil {
		return err
	}
	return printJSON(a.Stdout, items)
}

func (a *App) statusTable(view statusView, part string) *table {
	t := &table{}
	switch part {
	case "endpoints":
		t.header = []string{"ENDPOINT", "SERVICE", "VERSION", "DATA CENTRE", "ADDRESS", "STATE"}
		for _, e := range view.GetEndpoints() {
			t.add(e.GetId(), e.GetService(), e.GetVersion(), e.GetDataCentre(), e.GetAddress(), e.GetState())
		}
	case "versions":
		t.header = []string{"SERVICE", "VERSION", "ACTIVE", "SHARE", "LIVE", "LEAVING", "SUSPENDED"}
		for _, v := range view.versions {
			t.add(v.Service, v.Version, yesNo(v.Active), shareText(v.SharePermille), fmt.Sprint(v.Live), fmt.Sprint(v.Leaving), v.Suspended)
		}
	case "plans":
		return a.planTable(view.GetPlans())
	case "leases":
		t.header = []string{"LEASE", "HOLDER", "FENCING", "TTL", "RELEASED"}
		for _, l := range view.GetLeases() {
			t.add(l.GetName(), l.GetLease().GetHolder(), fmt.Sprint(l.GetLease().GetFencing()),
				l.GetLease().GetTtl().AsDuration().String(), yesNo(l.GetLease().GetReleased()))
		}
	case "processes":
		t.header = []string{"PROCESS", "ROLE", "DATA CENTRE", "ADDRESS", "STATE", "REVISION"}
		for _, p := range view.GetProcesses() {
			t.add(p.GetId(), p.GetRole(), p.GetDataCentre(), p.GetAddress(), p.GetState(), fmt.Sprint(p.GetConfigRevision()))
		}
	}
	return t
}

// versionStatuses joins the configured versions with their endpoints. The
// active version has the share that no move redirects.
func versionStatuses(c *clstate.ConfigSnapshot, endpoints []*clwire.EndpointStatus) []versionStatus {
	const whole = 1000
	list := []versionStatus{}
	for _, s := range c.GetServices() {
		move, moving := lo.Find(c.GetMoves(), func(m *clstate.Move) bool { return m.GetService() == s.GetName() })
		for _, v := range s.GetVersions() {
			row := versionStatus{Service: s.GetName(), Version: v.GetName(), Active: v.GetName() == s.GetActiveVersion()}
			switch {
			case v.GetSuspended():
				row.Suspended = v.GetSuspendedReason()
				if row.Suspended == "" {
					row.Suspended = "yes"
				}
			case moving && v.GetName() == move.GetToVersion():
				row.SharePermille = move.GetSharePermille()
			case row.Active:
				row.SharePermille = whole - move.GetSharePermille()
			}
			for _, e := range endpoints {
				if e.GetService() == row.Service && e.GetVersion() == row.Version {
					row.Live += lo.Ternary(e.GetState() == "live", 1, 0)
					row.Leaving += lo.Ternary(e.GetState() == "leaving", 1, 0)
				}
			}
			list = append(list, row)
		}
	}
	return list
}
