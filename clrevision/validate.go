// This file defines the checks of a configuration snapshot.

package clrevision

import (
	"crypto/sha256"
	"fmt"
	"math"
	"regexp"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
)

const (
	// maxSnapshotBytes is the largest value of the object API.
	maxSnapshotBytes = 1_000_000
	// minResendWindow is above the 10 minutes by which clocks may differ.
	minResendWindow = time.Hour
	maxShare        = 1000
)

// validName keeps names usable in object keys, URLs and metrics.
var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// validator collects problems.
type validator struct {
	problems []Problem
}

// Validate returns nil or an InvalidError that lists every problem.
func Validate(s *clstate.ConfigSnapshot) error {
	v := &validator{}
	if size := proto.Size(s); size > maxSnapshotBytes {
		v.add("configuration", fmt.Sprintf("is %d bytes long, the limit is %d", size, maxSnapshotBytes), "remove unused versions or accounts")
	}
	centres := names(v, "data_centres", s.DataCentres, (*clstate.DataCentre).GetName)
	for _, d := range s.DataCentres {
		if d.State == clstate.DataCentreState_DATA_CENTRE_STATE_UNSPECIFIED {
			v.add(at("data_centres", d.Name)+".state", "is not set", "set it to in or out")
		}
	}
	services := names(v, "services", s.Services, (*clstate.Service).GetName)
	for _, svc := range s.Services {
		v.service(svc, centres)
	}
	v.accounts(s.Accounts)
	v.moves(s.Moves, services)
	if len(v.problems) > 0 {
		return &InvalidError{Problems: v.problems}
	}
	return nil
}

func (v *validator) add(path, detail, remedy string) {
	v.problems = append(v.problems, Problem{Path: path, Detail: detail, Remedy: remedy})
}

func at(list, name string) string { return fmt.Sprintf("%s[%q]", list, name) }

// names checks that names are valid and unique, and returns the items by name.
func names[T any](v *validator, path string, items []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(items))
	for _, item := range items {
		n := name(item)
		if !validName.MatchString(n) {
			v.add(at(path, n)+".name", "is not a valid name", "use up to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends")
		}
		if _, ok := byName[n]; ok {
			v.add(at(path, n), "is listed twice", "keep one of them")
		}
		byName[n] = item
	}
	return byName
}

func (v *validator) service(s *clstate.Service, centres map[string]*clstate.DataCentre) {
	path := at("services", s.Name)
	if s.Kind == clstate.ServiceKind_SERVICE_KIND_UNSPECIFIED {
		v.add(path+".kind", "is not set", "set it to engine or plain")
	}
	versions := names(v, path+".versions", s.Versions, (*clstate.Version).GetName)
	active, ok := versions[s.ActiveVersion]
	switch {
	case !ok:
		v.add(path+".active_version", fmt.Sprintf("version %q does not exist", s.ActiveVersion), "name one of the service's versions")
	case active.Suspended:
		v.add(path+".active_version", fmt.Sprintf("version %q is suspended", s.ActiveVersion), "lift the suspension or name another version")
	}
	if len(s.DataCentres) == 0 {
		v.add(path+".data_centres", "is empty", "name at least one data centre")
	}
	for _, name := range s.DataCentres {
		if centres[name] == nil {
			v.add(path+".data_centres", fmt.Sprintf("data centre %q does not exist", name), "create it first or name another")
		}
	}
	if s.ColdSlots == 0 || s.ColdSlots > s.MaxSlots {
		v.add(path+".cold_slots", fmt.Sprintf("is %d with max_slots %d", s.ColdSlots, s.MaxSlots), "set 1 <= cold_slots <= max_slots")
	}
	if s.WarmAfter == 0 && s.ColdSlots < s.MaxSlots {
		v.add(path+".warm_after", "is 0, so that the limit would never rise", "set the healthy answers after which the limit doubles")
	}
	if s.RequestTimeout != nil && s.RequestTimeout.AsDuration() <= 0 {
		v.add(path+".request_timeout", "is not positive", "set a positive duration or leave it out")
	}
	v.nonRepeatable(path, s)
	v.placement(path+".placement", s.Placement)
}

// nonRepeatable checks the settings on which P7 rests.
func (v *validator) nonRepeatable(path string, s *clstate.Service) {
	for i, rule := range s.NonRepeatable {
		if rule.Method == "" || len(rule.PathPrefix) == 0 || rule.PathPrefix[0] != '/' {
			v.add(fmt.Sprintf("%s.non_repeatable[%d]", path, i), "needs a method and a path prefix", "set both; the prefix starts with '/'")
		}
	}
	if s.OnOutage == clstate.OnOutage_ON_OUTAGE_PASS && !s.Deduplicates {
		v.add(path+".on_outage", "is pass, but the endpoints do not remove duplicates",
			"set on_outage to refuse, or deduplicates if the endpoints do remove them")
	}
	if len(s.NonRepeatable) > 0 && s.OnOutage == clstate.OnOutage_ON_OUTAGE_UNSPECIFIED {
		v.add(path+".on_outage", "is not set for a service with non-repeatable calls", "set it to refuse or pass")
	}
	if s.ResendWindow != nil && s.ResendWindow.AsDuration() < minResendWindow {
		v.add(path+".resend_window", fmt.Sprintf("is %s", s.ResendWindow.AsDuration()), fmt.Sprintf("set at least %s, or leave it out for 24h", minResendWindow))
	}
}

func (v *validator) placement(path string, p *clstate.PlacementTarget) {
	for name, x := range map[string]float64{
		"requests_per_second": p.GetRequestsPerSecond(), "requests_per_second_per_endpoint": p.GetRequestsPerSecondPerEndpoint(),
	} {
		if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
			v.add(path+"."+name, "is not a number from 0 up", "set a finite rate")
		}
	}
	if p.GetRequestsPerSecond() > 0 && p.GetRequestsPerSecondPerEndpoint() == 0 {
		v.add(path+".requests_per_second_per_endpoint", "is 0", "set the rate that one endpoint bears at the latency target")
	}
}

func (v *validator) accounts(accounts []*clstate.Account) {
	names(v, "accounts", accounts, (*clstate.Account).GetName)
	owner := map[string]string{}
	for _, a := range accounts {
		for i, key := range a.KeySha256 {
			path := fmt.Sprintf("%s.key_sha256[%d]", at("accounts", a.Name), i)
			if len(key) != sha256.Size {
				v.add(path, fmt.Sprintf("is %d bytes long", len(key)), "store the 32 bytes of the key's SHA-256")
			}
			if other, ok := owner[string(key)]; ok {
				v.add(path, fmt.Sprintf("is also a key of account %q", other), "give each account its own key")
			}
			owner[string(key)] = a.Name
		}
	}
}

func (v *validator) moves(moves []*clstate.Move, services map[string]*clstate.Service) {
	moving := map[string]bool{}
	for _, m := range moves {
		path := at("moves", m.Service)
		s := services[m.Service]
		if s == nil {
			v.add(path, "the service does not exist", "end the move or create the service")
			continue
		}
		if moving[m.Service] {
			v.add(path, "the service has two moves", "end one before the other starts")
		}
		moving[m.Service] = true
		versions := map[string]bool{}
		for _, version := range s.Versions {
			versions[version.Name] = true
		}
		if !versions[m.FromVersion] || !versions[m.ToVersion] || m.FromVersion == m.ToVersion {
			v.add(path, fmt.Sprintf("moves from %q to %q", m.FromVersion, m.ToVersion), "name two different versions of the service")
		}
		if m.SharePermille > maxShare {
			v.add(path+".share_permille", fmt.Sprintf("is %d", m.SharePermille), "set at most 1000")
		}
		if m.Deadline == nil {
			v.add(path+".deadline", "is not set", "set the time by which the move must be done or undone")
		}
	}
}
