// This file defines the applied configuration as requests use it.

package clentry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clstate"
)

const defaultRequestTimeout = 60 * time.Second

type (
	// view is one configuration revision, indexed; it never changes.
	view struct {
		snapshot *clstate.ConfigSnapshot
		services map[string]*clstate.Service
		moves    map[string]*clstate.Move
		accounts accountIndex
		out      map[string]bool
	}

	// views holds the applied revision and replaces it only by a higher one.
	views struct {
		// onApply is called with each applied view, in the order of revisions.
		onApply func(*view)

		mu      sync.Mutex
		current atomic.Pointer[view]
	}
)

var _ clpeer.Configs = (*views)(nil)

// Current implements clpeer.Configs.
func (v *views) Current() *clstate.ConfigSnapshot {
	if cur := v.current.Load(); cur != nil {
		return cur.snapshot
	}
	return nil
}

// Apply implements clpeer.Configs.
func (v *views) Apply(s *clstate.ConfigSnapshot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.GetRevision() <= v.Current().GetRevision() {
		return false
	}
	next := newView(s)
	v.current.Store(next)
	if v.onApply != nil {
		v.onApply(next)
	}
	return true
}

func (v *views) load() *view { return v.current.Load() }

func newView(s *clstate.ConfigSnapshot) *view {
	v := &view{
		snapshot: s,
		services: make(map[string]*clstate.Service, len(s.GetServices())),
		moves:    make(map[string]*clstate.Move, len(s.GetMoves())),
		accounts: newAccountIndex(s.GetAccounts()),
		out:      make(map[string]bool),
	}
	for _, svc := range s.GetServices() {
		v.services[svc.GetName()] = svc
	}
	for _, m := range s.GetMoves() {
		v.moves[m.GetService()] = m
	}
	for _, d := range s.GetDataCentres() {
		v.out[d.GetName()] = d.GetState() == clstate.DataCentreState_DATA_CENTRE_STATE_OUT
	}
	return v
}

// split returns how the service's requests divide between versions.
func (v *view) split(svc *clstate.Service) clroute.Split {
	s := clroute.Split{Old: svc.GetActiveVersion()}
	if m := v.moves[svc.GetName()]; m != nil {
		s.Old, s.New, s.NewPermille = m.GetFromVersion(), m.GetToVersion(), m.GetSharePermille()
		s.NewSuspended = versionSuspended(svc, m.GetToVersion())
	}
	return s
}

func versionSuspended(svc *clstate.Service, name string) bool {
	for _, ver := range svc.GetVersions() {
		if ver.GetName() == name {
			return ver.GetSuspended()
		}
	}
	return true
}

// admits reports whether the endpoint's service may run in its data centre.
func (v *view) admits(e endpoint) bool {
	return slices.Contains(v.services[e.service].GetDataCentres(), e.dataCentre)
}

func isEngine(svc *clstate.Service) bool {
	return svc.GetKind() == clstate.ServiceKind_SERVICE_KIND_ENGINE
}

func requestTimeout(svc *clstate.Service) time.Duration {
	if d := svc.GetRequestTimeout().AsDuration(); d > 0 {
		return d
	}
	return defaultRequestTimeout
}

func nonRepeatable(svc *clstate.Service, method, path string) bool {
	for _, r := range svc.GetNonRepeatable() {
		if (r.GetMethod() == "" || r.GetMethod() == method) && strings.HasPrefix(path, r.GetPathPrefix()) {
			return true
		}
	}
	return false
}
