package clorder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/cllease"
)

var (
	t0     = time.Unix(1_000_000, 0)
	policy = Policy{SendTimeout: time.Second, Margin: 2 * time.Second}
)

// TestCheck guards the bounds of both kinds of endpoints.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		held   bool
		left   time.Duration
		checks bool
		want   Kind
	}{
		{"checking, held", true, time.Millisecond, true, ""},
		{"checking, lapsed", true, 0, true, KindNotHeld},
		{"checking, not held", false, time.Minute, true, KindNotHeld},
		{"ignoring, enough left", true, 3*time.Second + 1, false, ""},
		{"ignoring, too little left", true, 3 * time.Second, false, KindShort},
		{"ignoring, not held", false, time.Minute, false, KindNotHeld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := policy.Check(cllease.State{Held: tt.held, Fencing: 7, Until: t0.Add(tt.left)}, t0, tt.checks)
			require.Equal(t, tt.want, KindOf(err))
			if err == nil {
				require.Equal(t, uint64(7), p.Fencing)
				require.True(t, p.Before.After(t0))
			}
		})
	}
}

// TestPausedHolder shows what each kind of endpoint does with a holder that is
// paused between its check and the sending while a successor orders: an
// endpoint that checks refuses the old order after any pause; one that ignores
// the number is safe only while the pause is shorter than the margin.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		name          string
		checksFencing bool
		pause         time.Duration
		reverted      bool
	}{
		{"checking, short pause", true, time.Second, false},
		{"checking, pause past the lease", true, time.Minute, false},
		{"ignoring, pause within the margin", false, 2 * time.Second, false},
		{"ignoring, pause past the lease", false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lease := cllease.State{Held: true, Fencing: 1, Until: t0.Add(policy.SendTimeout + policy.Margin + time.Millisecond)}
			permit, err := policy.Check(lease, t0, tt.checksFencing)
			require.NoError(t, err)
			version, highest := "none", uint64(0)
			order := func(fencing uint64, v string) {
				if tt.checksFencing {
					if highest, err = Accept(highest, fencing); err != nil {
						return
					}
				}
				version = v
			}
			if sentAt := t0.Add(tt.pause); sentAt.Before(lease.Until) {
				order(permit.Fencing, "old")
				order(2, "new")
			} else {
				order(2, "new")
				order(permit.Fencing, "old")
			}
			require.Equal(t, tt.reverted, version == "old")
		})
	}
}

// TestLedgerOwes fails if an order counts as in force although another was
// sent since, in any order of confirmations, terms and restarts.
func TestLedgerOwes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{}
		l.Begin(1)
		orders := []Order{{Version: "v1"}, {Version: "v2"}}
		draw := func() Order { return rapid.SampledFrom(orders).Draw(t, "order") }
		var wanted, last Order
		var sents []Sent
		var current Sent
		certain, fencing := false, uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"want": func(*rapid.T) { wanted = draw(); l.Want("e", wanted) },
			"send": func(*rapid.T) {
				last, certain = draw(), false
				current = l.Sending("e", last)
				sents = append(sents, current)
			},
			"confirm": func(t *rapid.T) {
				if len(sents) > 0 {
					sent := rapid.SampledFrom(sents).Draw(t, "sent")
					certain = certain || sent == current
					l.Confirmed("e", sent)
				}
			},
			"new term": func(*rapid.T) { fencing++; l.Begin(fencing); certain, current = false, 0 },
			"other": func(*rapid.T) {
				l.Want("f", Order{Version: "v1"})
				l.Confirmed("f", l.Sending("f", Order{Version: "v1"}))
			},
			"restart": func(*rapid.T) { l.Forget("e"); l.Want("e", wanted); certain, current = false, 0 },
			"": func(t *rapid.T) {
				owed := false
				for _, o := range l.Owed() {
					owed = owed || o.Endpoint == "e"
				}
				if wanted != (Order{}) {
					require.Equal(t, !certain || last != wanted, owed)
				}
			},
		})
	})
}
