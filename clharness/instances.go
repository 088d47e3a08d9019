// This file defines how the harness plays the machines of the cloud API.

package clharness

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

// instancesPoll is how often the harness looks at the platform's instances.
const instancesPoll = 100 * time.Millisecond

// RunInstances starts a process for each engine instance that the system
// starts, and ends the processes of instances that are gone, until ctx ends.
func (f *Fleet) RunInstances(ctx context.Context) error {
	started := make(map[string]*StandIn)
	t := time.NewTicker(instancesPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		list, err := f.Instances()
		if err != nil {
			return err
		}
		for _, in := range list {
			if err := f.follow(in, started); err != nil {
				return err
			}
		}
	}
}

// follow brings an instance's process in line with its state.
func (f *Fleet) follow(in clplatform.Instance, started map[string]*StandIn) error {
	s := started[in.ID]
	switch {
	case in.State == clplatform.InstanceStarting && s == nil:
		s := &StandIn{DataCentre: in.DataCentre, Service: in.Service, Version: in.Version}
		started[in.ID] = s
		f.Endpoints = append(f.Endpoints, s)
		if err := f.startStandIn(s, in.ID, f.engineArgs(in.Version)...); err != nil {
			return err
		}
		in.State, in.Endpoint = clplatform.InstanceLive, s.Addr
		return f.Platform.admin("/admin/instances", in)
	case in.State == clplatform.InstanceGone && s != nil && s.Running():
		s.Kill()
	}
	return nil
}

// Instances returns the platform's instances without the list's lag.
func (f *Fleet) Instances() ([]clplatform.Instance, error) {
	c := &http.Client{Timeout: callTimeout}
	resp, err := c.Get("http://" + f.Platform.Admin.String() + "/admin/instances")
	if err != nil {
		return nil, errors.Wrap(err, "read instances")
	}
	defer resp.Body.Close()
	var body struct {
		Instances []clplatform.Instance `json:"instances"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "decode instances")
	}
	return body.Instances, nil
}

// LiveIn counts the live engine instances by data centre.
func (f *Fleet) LiveIn() (map[string]int, error) {
	list, err := f.Instances()
	if err != nil {
		return nil, err
	}
	live := lo.Filter(list, func(in clplatform.Instance, _ int) bool {
		return in.State == clplatform.InstanceLive && in.Service == f.Profile.EngineService
	})
	return lo.CountValuesBy(live, func(in clplatform.Instance) string { return in.DataCentre }), nil
}
