// This file defines how crash fingerprints travel between entries.

package clentry

import (
	"context"
	"encoding/hex"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clroute"
)

// crashSpreadTimeout bounds the wait for peers before a suspect request is
// answered or sent again.
const crashSpreadTimeout = 500 * time.Millisecond

// spreadCrash tells the peers of a crash and waits, within a bound, until
// those that are alive know of it: the caller may send the request again
// through any of them as soon as it has its answer.
func (r *runner) spreadCrash(c clroute.Crash) {
	f := clmember.Fact{
		ID:       "crash/" + c.Fingerprint.String() + "/" + c.Endpoint + "/" + c.BootID,
		Kind:     clmember.CrashFingerprint,
		Lifetime: crashLifetime, Time: c.At, Subject: c.Fingerprint.String(),
		Detail: c.Endpoint + " " + c.BootID, Urgent: true,
	}
	r.node.AddFact(f)
	ctx, cancel := context.WithTimeout(context.Background(), crashSpreadTimeout)
	defer cancel()
	r.node.TellAll(ctx, r.node.Member.Self.Role, f)
}

// learnCrash takes a peer's fact.
func (g *gate) learnCrash(f clmember.Fact) {
	fp, err := hex.DecodeString(f.Subject)
	endpointID, bootID, ok := strings.Cut(f.Detail, " ")
	if err != nil || len(fp) != len(clroute.Fingerprint{}) || !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Learn(clroute.Crash{
		Fingerprint: clroute.Fingerprint(fp), Endpoint: endpointID, BootID: bootID, At: f.Time,
	}, time.Now())
}
