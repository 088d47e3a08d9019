// This file gathers what the orders for endpoints depend on.

package clnode

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clduty"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/samber/lo"
)

// serviceStates returns the state of each service whose endpoints are ordered. It
// returns nil until the configuration and the endpoints have been read, and if there is
// no such service.
func (n *Node) serviceStates() []clduty.ServiceState {
	catalog := n.gateway.Catalog()
	endpointsMissing := slices.ContainsFunc(n.readiness.Reasons(), func(reason string) bool { return strings.HasPrefix(reason, conditionEndpoints) })
	if catalog == nil || endpointsMissing {
		return nil
	}
	var states []clduty.ServiceState
	n.mu.Lock()
	evacuatedDataCentres, trialVersions := maps.Clone(n.evacuatedDataCentres), map[string]string{}
	for service, r := range n.requestedRollouts {
		if r.Outcome != clcatalog.RolloutDone || r.OutcomeVersion != r.Version {
			trialVersions[service] = r.Version
		}
	}
	n.mu.Unlock()
	for _, s := range catalog.Services {
		if s.Scaling == nil {
			continue
		}
		endpoints := n.fleet.Endpoints(s.Name)
		endpoints = slices.DeleteFunc(endpoints, func(e clcatalog.Endpoint) bool { return e.Leaving })
		trial, serving := splitTrial(endpoints, trialVersions[s.Name])
		pace := n.fleet.MeanPace(s.Name, time.Now())
		peak, current := n.loadEstimator.busyEndpoints(s.Name, n.fleet.OccupiedEndpoints(s.Name), pace, clclock.Now())
		states = append(states, clduty.ServiceState{
			Service: s.Name, Scaling: *s.Scaling, Endpoints: serving, TrialEndpoints: trial, PeakLoad: peak, CurrentLoad: current, StatesPace: pace > 0, NeverRequested: n.loadEstimator.neverRequested(s.Name), Evacuated: evacuatedDataCentres,
		})
	}
	return states
}

// splitTrial divides the endpoints of a service into those of the version on trial, ""
// if there is none, and the others. If there are no others, none is on trial.
func splitTrial(endpoints []clcatalog.Endpoint, version string) (trial, serving []clcatalog.Endpoint) {
	if version == "" {
		return nil, endpoints
	}
	trial, serving = lo.FilterReject(endpoints, func(e clcatalog.Endpoint, _ int) bool { return e.Version == version })
	if len(serving) == 0 {
		return nil, endpoints
	}
	return trial, serving
}
