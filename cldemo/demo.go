// This file defines the whole demo.

package cldemo

import (
	"context"
	"os"
	"path/filepath"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Run runs both deployments side by side with the commands in binDir and
// returns the table. workDir keeps logs and settings.
func Run(ctx context.Context, binDir, workDir string) (*Table, error) {
	t := &Table{}
	kartliProfile := clharness.Kartli()
	kartliProfile.Settings = map[string]string{"plans@control": "rollout_dwell = 2s\nrollout_margin = 5s\n"}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return deploy(ctx, clharness.Kesar(), binDir, workDir, func(f *clharness.Fleet) error { return (&kesar{f, t}).run(ctx) })
	})
	g.Go(func() error {
		return deploy(ctx, kartliProfile, binDir, workDir, func(f *clharness.Fleet) error { return (&kartli{f, t}).run(ctx) })
	})
	return t, g.Wait()
}

// deploy starts a deployment, runs the steps and ends all of its processes.
func deploy(ctx context.Context, p clharness.Profile, binDir, workDir string, run func(*clharness.Fleet) error) error {
	dir := filepath.Join(workDir, p.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f := &clharness.Fleet{Profile: p, BinDir: binDir, WorkDir: dir}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return errors.Wrap(err, "start "+p.Name)
	}
	if err := run(f); err != nil {
		return errors.Wrap(err, p.Name)
	}
	return nil
}
