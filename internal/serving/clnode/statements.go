// This file translates what endpoints state of their load for digests.

package clnode

import (
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/samber/lo"
)

// pacePercent is the pace in digests of an endpoint at which work takes as long as usual.
const pacePercent = 100

func encodeStatements(statements []clfleet.EndpointStatement) []*clgossip.Statement {
	return lo.Map(statements, func(s clfleet.EndpointStatement, _ int) *clgossip.Statement {
		return &clgossip.Statement{
			Endpoint: s.EndpointHash, AgeMs: uint32(s.Age.Milliseconds()), Running: uint32(s.Running), Waiting: uint32(s.Waiting),
			Slots: uint32(s.Slots), Pace: uint32(math.Round(s.Pace * pacePercent)),
		}
	})
}

func decodeStatements(statements []*clgossip.Statement) []clfleet.EndpointStatement {
	return lo.Map(statements, func(s *clgossip.Statement, _ int) clfleet.EndpointStatement {
		load := clfleet.StatedLoad{
			Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Slots: int(s.GetSlots()), Pace: float64(s.GetPace()) / pacePercent,
		}
		return clfleet.EndpointStatement{EndpointHash: s.GetEndpoint(), Age: time.Duration(s.GetAgeMs()) * time.Millisecond, StatedLoad: load}
	})
}
