// This file passes the evidence on requests that crash endpoints between the gateways.

package clnode

import (
	"math"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// fillCrashEvidence adds this gateway's evidence on requests that crash endpoints to a
// digest. Ages stand for times, since the gateways' clocks differ.
func (n *Node) fillCrashEvidence(d *clgossip.Digest) {
	now := clclock.Now()
	evidence := n.crashTracker.Evidence(now)
	for _, c := range evidence.Crashes {
		crash := &clgossip.Crash{EndpointRun: c.EndpointRun, AgeMs: ageMillis(c.At, now)}
		for _, t := range c.Traits {
			crash.Traits, crash.Depths = append(crash.Traits, t.ID), append(crash.Depths, t.Depth)
		}
		d.Crashes = append(d.Crashes, crash)
	}
	for _, s := range evidence.SoundRuns {
		d.SoundRuns = append(d.SoundRuns, &clgossip.SoundRun{Trait: s.TraitID, AgeMs: ageMillis(s.BeganAt, now), Runs: s.Runs})
	}
	for _, b := range evidence.Blocks {
		d.Blocks = append(d.Blocks, &clgossip.Block{Trait: b.ID, Depth: uint32(b.Depth), AgeMs: ageMillis(b.LastCrash, now)})
	}
}

// mergeCrashEvidence takes over the evidence in a digest of another gateway.
func (n *Node) mergeCrashEvidence(d *clgossip.Digest) {
	if len(d.GetCrashes())+len(d.GetSoundRuns())+len(d.GetBlocks()) == 0 {
		return
	}
	now := clclock.Now()
	at := func(ageMillis uint32) time.Time { return now.Add(-time.Duration(ageMillis) * time.Millisecond) }
	n.crashTracker.Merge(clcrash.Evidence{
		Crashes: lo.Map(d.GetCrashes(), func(c *clgossip.Crash, _ int) clcrash.Crash {
			return clcrash.Crash{EndpointRun: c.GetEndpointRun(), At: at(c.GetAgeMs()), Traits: decodeTraits(c)}
		}),
		SoundRuns: lo.Map(d.GetSoundRuns(), func(s *clgossip.SoundRun, _ int) clcrash.SoundRun {
			return clcrash.SoundRun{TraitID: s.GetTrait(), BeganAt: at(s.GetAgeMs()), Runs: s.GetRuns()}
		}),
		Blocks: lo.Map(d.GetBlocks(), func(b *clgossip.Block, _ int) clcrash.Block {
			return clcrash.Block{Trait: clcrash.Trait{ID: b.GetTrait(), Depth: uint8(min(b.GetDepth(), math.MaxUint8))}, LastCrash: at(b.GetAgeMs())}
		}),
	}, now)
}

// logBlock logs that requests with a trait are refused from now on, or no longer.
func (n *Node) logBlock(b clcrash.Block, blocked bool) {
	message := "requests with a trait are refused"
	if !blocked {
		message = "requests with a trait are no longer refused"
	}
	n.Logger.Info(message, zap.String("trait", strconv.FormatUint(b.ID, 16)), zap.Bool("whole_request", b.Depth == clcrash.WholeRequest), zap.Uint8("depth", b.Depth),
		zap.Duration("last_crash_age", clclock.Now().Sub(b.LastCrash)))
}

// decodeTraits returns the traits of a crash. Those without a depth are left out.
func decodeTraits(c *clgossip.Crash) []clcrash.Trait {
	depths := c.GetDepths()
	traits := make([]clcrash.Trait, 0, len(depths))
	for i, id := range c.GetTraits()[:min(len(c.GetTraits()), len(depths))] {
		traits = append(traits, clcrash.Trait{ID: id, Depth: depths[i]})
	}
	return traits
}

// ageMillis returns the time since at in whole milliseconds.
func ageMillis(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}
