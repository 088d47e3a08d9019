// This file defines the control of stand-ins while they run.

package clharness

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/go-faster/errors"
)

func (s *StandIn) admin(path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c := standInClient()
	resp, err := c.Post("http://"+s.Admin.String()+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "admin call to "+s.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Errorf("admin call %s to %s: status %d", path, s.Name, resp.StatusCode)
	}
	return nil
}

// standInClient opens a connection for each call: one that was kept could have
// gone silent with the others.
func standInClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// SetFaults replaces the stand-in's fault switches.
func (s *StandIn) SetFaults(faults clstandin.Faults) error { return s.admin("/admin/faults", faults) }

// Silence makes all open connections of the stand-in silent; new ones work.
func (s *StandIn) Silence() error { return s.admin("/admin/actions/silence", struct{}{}) }

// Crash aborts all connections of the stand-in and gives it a new boot ID.
func (s *StandIn) Crash() error { return s.admin("/admin/actions/crash", struct{}{}) }

// TurnCold makes an engine cold without a restart; 0 stands for its cold time.
func (s *StandIn) TurnCold(coldFor time.Duration) error {
	return s.admin("/admin/actions/turn_cold", clstandin.TurnColdRequest{ColdMs: int(coldFor.Milliseconds())})
}

// Reclaim announces that endpoints will be taken away, and kills their
// processes when the notice has passed.
func (f *Fleet) Reclaim(notice time.Duration, endpoints ...*StandIn) error {
	req := clstandin.ReclaimRequest{NoticeMs: int(notice.Milliseconds())}
	for _, e := range endpoints {
		req.InstanceIDs = append(req.InstanceIDs, e.Name)
		time.AfterFunc(notice, e.Kill)
	}
	return f.Platform.admin("/admin/reclaims", req)
}

// ReclaimDataCentre announces that a data centre's reclaimable instances will
// be taken away; RunInstances ends their processes.
func (f *Fleet) ReclaimDataCentre(name string, notice time.Duration) error {
	return f.Platform.admin("/admin/reclaims", clstandin.ReclaimRequest{DataCentre: name, NoticeMs: int(notice.Milliseconds())})
}

// EngineStats returns an engine's statistics.
func (s *StandIn) EngineStats() (clstandin.EngineStats, error) {
	var st clstandin.EngineStats
	return st, s.stats(&st)
}

// BookingStats returns a booking service's statistics.
func (s *StandIn) BookingStats() (clstandin.BookingStats, error) {
	var st clstandin.BookingStats
	return st, s.stats(&st)
}

// Arrivals returns the requests that have reached an engine or booking service,
// also those that a fault switch failed.
func (s *StandIn) Arrivals() (clstandin.Arrivals, error) {
	var st struct {
		Arrivals clstandin.Arrivals `json:"arrivals"`
	}
	err := s.stats(&st)
	return st.Arrivals, err
}

func (s *StandIn) stats(v any) error {
	c := standInClient()
	resp, err := c.Get("http://" + s.Addr.String() + "/stats")
	if err != nil {
		return errors.Wrap(err, "statistics of "+s.Name)
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// BookingRuns returns how often each key ran, summed over the plain services
// whose processes still run.
func (f *Fleet) BookingRuns() (map[string]int, error) {
	runs := make(map[string]int)
	for _, e := range f.Endpoints {
		if e.Service != f.Profile.PlainService || !e.Running() {
			continue
		}
		st, err := e.BookingStats()
		if err != nil {
			return nil, err
		}
		for key, n := range st.Keys {
			runs[key] += n
		}
	}
	return runs, nil
}
