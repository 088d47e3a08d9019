// This file builds what the tests of the checks need.

package clsoak

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

// newChecks returns a soak that has no processes.
func newChecks(t *testing.T) *Soak {
	t.Helper()
	s := &Soak{runs: map[string][]clstandplatform.Run{}, violations: map[string]bool{}}
	s.world = &world{soak: s, cloud: &clstandplatform.Cloud{}, byID: map[string]*endpoint{}}
	return s
}

// attemptOf returns an attempt of a calm time.
func (s *Soak) attemptOf(id, prefix string) attempt {
	now := time.Now()
	return attempt{
		send: id, prefix: prefix, gateway: &gateway{name: "g"}, sent: now, ended: now,
		key: accountKey{key: "k", added: now.Add(-time.Hour)},
	}
}

// inProgress records that a request is in progress at a gateway.
func (s *Soak) inProgress(gatewayName, request string) {
	s.senders = map[string]*gateway{request: {name: gatewayName}}
	s.sentAt = map[string]time.Time{request: time.Now()}
}

func runOf(id, endpoint, path string) clstandplatform.Run { return sendOf(id, 1, endpoint, path) }

func sendOf(id string, n int, endpoint, path string) clstandplatform.Run {
	return clstandplatform.Run{Request: id, Send: clstandplatform.SendName(id, n), Endpoint: endpoint, Path: path, Account: account, At: time.Now()}
}
