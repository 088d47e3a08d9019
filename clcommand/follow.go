// This file defines how a plan is followed to its end.

package clcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"
)

// follower polls one plan and prints what is new.
type follower struct {
	app      *App
	session  *session
	id       string
	interval time.Duration
	// patience bounds the time for which polls may fail in a row.
	patience time.Duration
	json     bool

	last     *clstate.Plan
	failedAt time.Time
}

func (a *App) planFollow(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	if cmd.Duration("interval") <= 0 {
		return usagef("--interval must be above 0")
	}
	s, err := open(cmd)
	if err != nil {
		return err
	}
	f := &follower{app: a, session: s, id: args[0], interval: cmd.Duration("interval"), patience: cmd.Duration("patience"), json: wantsJSON(cmd)}
	return f.run(ctx)
}

func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		done, err := f.poll(ctx)
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return &Error{Code: ExitFailure, Reason: "following plan " + f.id + " was stopped", Err: ctx.Err(),
				Remedy: "the plan itself continues; run `chestnutlead plan follow " + f.id + "` again"}
		case <-ticker.C:
		}
	}
}

// poll says whether the plan has reached its end, for which err holds the exit code.
func (f *follower) poll(ctx context.Context) (bool, error) {
	callCtx, cancel := f.session.context(ctx)
	defer cancel()
	resp, err := f.session.GetPlan(callCtx, &clwire.GetPlanRequest{Id: f.id})
	if err != nil {
		return false, f.failed(err)
	}
	f.failedAt = time.Time{}
	plan := resp.GetPlan()
	if err := f.print(plan); err != nil {
		return false, err
	}
	f.last = plan
	switch plan.GetState() {
	case clstate.PlanState_PLAN_STATE_DONE:
		return true, nil
	case clstate.PlanState_PLAN_STATE_UNDONE:
		return true, &Error{Code: ExitUndone, Reason: "plan " + f.id + " is undone: " + plan.GetReason(),
			Remedy: "state the intent again when the cause is removed"}
	case clstate.PlanState_PLAN_STATE_REJECTED:
		return true, &Error{Code: ExitRejected, Reason: fmt.Sprintf("plan %s was rejected by %q: %s", f.id, plan.GetDecidedBy(), plan.GetReason()),
			Remedy: "state the intent again to get a new plan"}
	}
	return false, nil
}

// failed returns nil while the poll may be repeated, because a control process
// may be replaced while it executes a plan.
func (f *follower) failed(err error) error {
	failure := call{what: "read plan " + f.id}.fail(err)
	var te twirp.Error
	if errors.As(err, &te) {
		switch te.Code() {
		case twirp.Unavailable, twirp.Internal, twirp.Unknown, twirp.DeadlineExceeded, twirp.ResourceExhausted:
		default:
			return failure
		}
	}
	now := f.app.Now()
	if f.failedAt.IsZero() {
		f.failedAt = now
		fmt.Fprintf(f.app.Stderr, "%v; polling again\n", failure)
	}
	if now.Sub(f.failedAt) >= f.patience {
		return failure
	}
	return nil
}

func (f *follower) print(plan *clstate.Plan) error {
	if f.json {
		if proto.Equal(plan, f.last) {
			return nil
		}
		text, err := messageJSON(plan)
		if err != nil {
			return err
		}
		fmt.Fprintf(f.app.Stdout, "%s\n", text)
		return nil
	}
	loc := f.app.Now().Location()
	for i, step := range plan.GetSteps() {
		if !step.GetFinished() || (i < len(f.last.GetSteps()) && f.last.GetSteps()[i].GetFinished()) {
			continue
		}
		fmt.Fprintf(f.app.Stdout, "%s  step %d/%d finished: %s\n", timeText(step.GetFinishedAt(), loc), i+1, len(plan.GetSteps()), step.GetDescription())
	}
	if f.last == nil || plan.GetState() != f.last.GetState() {
		fmt.Fprintf(f.app.Stdout, "%s  plan %s is %s\n", timeText(plan.GetChangedAt(), loc), f.id, stateText(plan.GetState()))
	}
	return nil
}
