// This file defines the load that the demo offers and the check of its answers.

package cldemo

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clload"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

const demoSeed = 20261204

// checkAnswer requires that a generated answer is the whole answer to its own
// request, which the stand-in derives from the prompt.
func checkAnswer(r *clload.Request, a *clload.Answer) error {
	if err := clload.WholeAnswer(r, a); err != nil {
		return err
	}
	if r.Kind == clload.KindBooking {
		return nil
	}
	fields := clendpoint.PromptFields{Messages: []clendpoint.Message{{Role: "user", Content: r.Prompt}}}
	if want := clstandin.AnswerText(fields.Text(), r.MaxTokens); a.Text != want {
		return errors.Errorf("the answer has %d bytes and differs from the request's own of %d bytes", len(a.Text), len(want))
	}
	return nil
}

func accounts(p clharness.Profile) []clload.Account {
	return lo.Map(p.Accounts, func(name string, i int) clload.Account {
		return clload.Account{Name: name, Key: clharness.KeyOf(name), Share: lo.Ternary(i < 2, 4.0, 1.0)}
	})
}

// scenario is a load of streams, completions and bookings at the given rates.
func scenario(p clharness.Profile, d time.Duration, streams, completions, bookings float64) *clload.Scenario {
	s := &clload.Scenario{Name: p.Name, Seed: demoSeed, Duration: clload.Duration(d), Accounts: accounts(p)}
	add := func(f clload.Flow) {
		if f.Rate > 0 {
			s.Flows = append(s.Flows, f)
		}
	}
	add(clload.Flow{
		Name: "streams", Kind: clload.KindStream, Service: p.EngineService, Rate: streams, MaxTokens: 64, PromptWords: 64,
		Prefixes: 8, Attempts: 5,
	})
	add(clload.Flow{
		Name: "completions", Kind: clload.KindCompletion, Service: p.EngineService, Rate: completions, MaxTokens: 8,
		PromptWords: 32, Prefixes: 8, Attempts: 3,
	})
	add(clload.Flow{
		Name: "bookings", Kind: clload.KindBooking, Service: p.PlainService, Path: "/bookings", Rate: bookings, Attempts: 5,
		Bursts: []clload.Burst{{At: clload.Duration(d / 4), Length: clload.Duration(time.Second), Factor: 10}},
	})
	return s
}

// offer runs a load against the entries that run now.
func offer(ctx context.Context, f *clharness.Fleet, s *clload.Scenario, runID string) (*clload.Report, error) {
	r := &clload.Runner{Scenario: s, Targets: f.Targets(), RunID: runID, Check: checkAnswer}
	report, err := r.Run(ctx)
	if report != nil {
		if err := writeReport(filepath.Join(f.WorkDir, "load-"+runID+".txt"), report); err != nil {
			return nil, err
		}
	}
	return report, err
}

// writeReport keeps the whole report beside the logs.
func writeReport(path string, r *clload.Report) error {
	var b bytes.Buffer
	if err := r.WriteTable(&b); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o600)
}

func flow(r *clload.Report, name string) clload.GroupReport {
	g, _ := lo.Find(r.Flows, func(g clload.GroupReport) bool { return g.Name == name })
	return g
}
