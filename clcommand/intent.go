// This file defines the commands that state an intent.

package clcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const timeUsage = "`TIME`: 18:00 (the next one, local), an RFC 3339 time, or +2h"

func (a *App) intentCommand() *cli.Command {
	at := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "at", Usage: "start at " + timeUsage + "; on confirmation if absent"}}
	}
	return &cli.Command{
		Name:  "intent",
		Usage: "states an intent, which the system answers with a plan",
		Commands: []*cli.Command{
			{
				Name:        "move",
				Usage:       "moves a service to another version by a set time",
				Description: exitCodesHelp,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Usage: "`SERVICE` to move", Required: true},
					&cli.StringFlag{Name: "to", Usage: "`VERSION` to move to", Required: true},
					&cli.StringFlag{Name: "by", Usage: "finish by " + timeUsage, Required: true},
				},
				Action: a.intentMove,
			},
			{
				Name:  "data-centre",
				Usage: "takes a data centre out of service or brings it back",
				Commands: []*cli.Command{
					{Name: "out", Usage: "takes a data centre out of service", ArgsUsage: "NAME", Description: exitCodesHelp, Flags: at(),
						Action: a.intentDataCentre(clstate.DataCentreState_DATA_CENTRE_STATE_OUT)},
					{Name: "in", Usage: "brings a data centre back", ArgsUsage: "NAME", Description: exitCodesHelp, Flags: at(),
						Action: a.intentDataCentre(clstate.DataCentreState_DATA_CENTRE_STATE_IN)},
				},
			},
		},
	}
}

func (a *App) intentMove(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	by, err := parseTime(a.Now(), cmd.String("by"))
	if err != nil {
		return err
	}
	return a.stateIntent(ctx, cmd, &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{
		Service: cmd.String("service"), ToVersion: cmd.String("to"), Deadline: timestamppb.New(by),
	}}})
}

func (a *App) intentDataCentre(state clstate.DataCentreState) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		args, err := arguments(cmd, 1)
		if err != nil {
			return err
		}
		intent := &clstate.SetDataCentre{DataCentre: args[0], State: state}
		if cmd.IsSet("at") {
			at, err := parseTime(a.Now(), cmd.String("at"))
			if err != nil {
				return err
			}
			intent.At = timestamppb.New(at)
		}
		return a.stateIntent(ctx, cmd, &clstate.Intent{Intent: &clstate.Intent_SetDataCentre{SetDataCentre: intent}})
	}
}

func (a *App) stateIntent(ctx context.Context, cmd *cli.Command, intent *clstate.Intent) error {
	s, err := open(cmd)
	if err != nil {
		return err
	}
	c := call{"state the intent to " + intentText(intent, a.Now().Location()), "chestnutlead plan list"}
	resp, err := invoke(ctx, s, c, s.StateIntent, &clwire.StateIntentRequest{Intent: intent, Operator: s.operator})
	if err != nil {
		return err
	}
	if err := a.printPlan(cmd, resp.GetPlan()); err != nil || wantsJSON(cmd) {
		return err
	}
	id := resp.GetPlan().GetId()
	fmt.Fprintf(a.Stdout, "next: chestnutlead plan confirm %s, or chestnutlead plan reject %s\n", id, id)
	return nil
}

// intentText describes an intent in one line.
func intentText(intent *clstate.Intent, loc *time.Location) string {
	if m := intent.GetMoveVersion(); m != nil {
		return fmt.Sprintf("move %s to %s by %s", m.GetService(), m.GetToVersion(), timeText(m.GetDeadline(), loc))
	}
	d := intent.GetSetDataCentre()
	if d == nil {
		return "unknown intent"
	}
	text := "bring " + d.GetDataCentre() + " in"
	if d.GetState() == clstate.DataCentreState_DATA_CENTRE_STATE_OUT {
		text = "take " + d.GetDataCentre() + " out"
	}
	if d.GetAt() != nil {
		text += " at " + timeText(d.GetAt(), loc)
	}
	return text
}

// parseTime reads a time of day, of which it takes the next one after now, an
// RFC 3339 time or a duration from now.
func parseTime(now time.Time, text string) (time.Time, error) {
	if after, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(after)
		if err != nil || d <= 0 {
			return time.Time{}, usagef("%q is no duration from now; write it as +2h or +90m", text)
		}
		return now.Add(d), nil
	}
	if clock, err := time.Parse("15:04", text); err == nil {
		year, month, day := now.Date()
		t := time.Date(year, month, day, clock.Hour(), clock.Minute(), 0, 0, now.Location())
		if !t.After(now) {
			t = time.Date(year, month, day+1, clock.Hour(), clock.Minute(), 0, 0, now.Location())
		}
		return t, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("%q is no time; write 18:00, 2026-03-01T18:00:00+04:00 or +2h", text)
	}
	if !t.After(now) {
		return time.Time{}, usagef("%s has passed; name a later time", text)
	}
	return t, nil
}
