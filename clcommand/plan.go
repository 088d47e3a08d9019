// This file defines the commands that read, decide and follow plans.

package clcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

const defaultFollowInterval = time.Second

func (a *App) planCommand() *cli.Command {
	decide := func(confirm bool) cli.ActionFunc {
		return func(ctx context.Context, cmd *cli.Command) error { return a.planDecide(ctx, cmd, confirm) }
	}
	return &cli.Command{
		Name:  "plan",
		Usage: "lists, decides and follows plans",
		Commands: []*cli.Command{
			{Name: "list", Usage: "lists all plans", Description: exitCodesHelp, Action: a.planList},
			{Name: "show", Usage: "prints a plan and its steps", ArgsUsage: "ID", Description: exitCodesHelp, Action: a.planShow},
			{Name: "confirm", Usage: "confirms a proposed plan", ArgsUsage: "ID", Description: exitCodesHelp, Action: decide(true)},
			{Name: "reject", Usage: "rejects a proposed plan", ArgsUsage: "ID", Description: exitCodesHelp, Action: decide(false),
				Flags: []cli.Flag{&cli.StringFlag{Name: "reason", Usage: "`TEXT` that is recorded with the plan"}}},
			{Name: "follow", Usage: "prints each step as it is reached, until the plan is done, undone or rejected",
				ArgsUsage: "ID", Description: exitCodesHelp, Action: a.planFollow,
				Flags: []cli.Flag{
					&cli.DurationFlag{Name: "interval", Usage: "time between two polls", Value: defaultFollowInterval},
					&cli.DurationFlag{Name: "patience", Usage: "time for which failed polls are repeated", Value: time.Minute},
				}},
		},
	}
}

func (a *App) planList(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	resp, err := invoke(ctx, s, call{what: "list the plans"}, s.ListPlans, &clwire.ListPlansRequest{})
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		items, err := listJSON(resp.GetPlans())
		if err != nil {
			return err
		}
		return printJSON(a.Stdout, items)
	}
	a.planTable(resp.GetPlans()).print(a.Stdout)
	return nil
}

func (a *App) planTable(plans []*clstate.Plan) *table {
	t := &table{header: []string{"PLAN", "STATE", "INTENT", "STEPS", "PROPOSED BY", "CHANGED", "REASON"}}
	loc := a.Now().Location()
	for _, p := range plans {
		finished := lo.CountBy(p.GetSteps(), (*clstate.PlanStep).GetFinished)
		t.add(p.GetId(), stateText(p.GetState()), intentText(p.GetIntent(), loc), fmt.Sprintf("%d/%d", finished, len(p.GetSteps())),
			p.GetProposedBy(), timeText(p.GetChangedAt(), loc), p.GetReason())
	}
	return t
}

func (a *App) planShow(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	resp, err := invoke(ctx, s, call{what: "read plan " + args[0]}, s.GetPlan, &clwire.GetPlanRequest{Id: args[0]})
	if err != nil {
		return err
	}
	return a.printPlan(cmd, resp.GetPlan())
}

func (a *App) printPlan(cmd *cli.Command, p *clstate.Plan) error {
	if wantsJSON(cmd) {
		return printMessage(a.Stdout, p)
	}
	loc := a.Now().Location()
	fmt.Fprintf(a.Stdout, "plan %s: %s\nintent: %s\n", p.GetId(), stateText(p.GetState()), intentText(p.GetIntent(), loc))
	fmt.Fprintf(a.Stdout, "proposed by %q at %s\n", p.GetProposedBy(), timeText(p.GetCreatedAt(), loc))
	if p.GetDecidedBy() != "" {
		fmt.Fprintf(a.Stdout, "decided by %q\n", p.GetDecidedBy())
	}
	if p.GetReason() != "" {
		fmt.Fprintf(a.Stdout, "reason: %s\n", p.GetReason())
	}
	steps := &table{header: []string{"STEP", "FINISHED", "DESCRIPTION"}}
	for i, step := range p.GetSteps() {
		steps.add(fmt.Sprint(i+1), timeText(step.GetFinishedAt(), loc), step.GetDescription())
	}
	steps.print(a.Stdout)
	return nil
}

func (a *App) planDecide(ctx context.Context, cmd *cli.Command, confirm bool) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	c := call{cmd.Name + " plan " + args[0], "chestnutlead plan show " + args[0]}
	req := &clwire.DecidePlanRequest{Id: args[0], Confirm: confirm, Operator: s.operator, Reason: cmd.String("reason")}
	resp, err := invoke(ctx, s, c, s.DecidePlan, req)
	if err != nil {
		return err
	}
	if err := a.printPlan(cmd, resp.GetPlan()); err != nil || wantsJSON(cmd) || !confirm {
		return err
	}
	fmt.Fprintf(a.Stdout, "next: chestnutlead plan follow %s\n", args[0])
	return nil
}
