package clrevision

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// writer is a proposal and the request it waits for.
	writer struct {
		core *Proposal
		id   string
		call *request
	}

	// request is a call on its way; it may take effect after its answer was given up.
	request struct {
		step    Step
		applied bool
		object  clstore.Object
		kind    clstore.Kind
	}

	world struct {
		t       *rapid.T
		store   *clstore.Memory
		writers []*writer
		lost    []*request
		n       int
	}
)

func addAccount(name string) func(*clstate.ConfigSnapshot) error {
	return func(s *clstate.ConfigSnapshot) error {
		s.Accounts = append(s.Accounts, &clstate.Account{Name: name})
		return nil
	}
}

// apply executes a request; each proposal adds an account of its own name, so
// that the accounts are the history of the revisions.
func (w *world) apply(r *request) {
	var err error
	if r.step.Action == ActionRead {
		r.object, err = w.store.Get(context.Background(), HeadKey)
	} else {
		_, err = w.store.Update(context.Background(), HeadKey, r.step.Value, r.step.IfVersion)
	}
	r.applied, r.kind = true, clstore.KindOf(err)
}

func (w *world) answer(x *writer, kind clstore.Kind) {
	r := x.call
	x.call = nil
	if r.step.Action == ActionRead {
		x.core.Observed(r.object, kind)
	} else {
		x.core.Updated(kind)
	}
}

func (w *world) step(x *writer) {
	if s := x.core.Next(); x.call == nil && s.Action != ActionDone {
		x.call = &request{step: s}
	}
}

func (w *world) waiting() *writer {
	var among []*writer
	for _, x := range w.writers {
		if x.call != nil {
			among = append(among, x)
		}
	}
	if len(among) == 0 {
		w.t.Skip("none")
	}
	return rapid.SampledFrom(among).Draw(w.t, "writer")
}

// TestProposalTruth fails if a change is reported as accepted without being
// in the history, or as not stored although it is or comes to be.
func TestProposalTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: &clstore.Memory{}}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) {
				w.n++
				id := fmt.Sprintf("p%d", w.n)
				change := Change{ProposalID: id, Apply: addAccount(id), IfRevision: uint64(rapid.IntRange(0, 2).Draw(t, "if"))}
				w.writers = append(w.writers, &writer{id: id, core: NewProposal(change, time.Now)})
			},
			"work": func(*rapid.T) {
				for _, x := range w.writers {
					if rapid.Bool().Draw(t, "runs") {
						w.step(x)
					}
				}
			},
			"answer": func(*rapid.T) {
				x := w.waiting()
				if !x.call.applied {
					w.apply(x.call)
				}
				w.answer(x, x.call.kind)
			},
			"apply": func(*rapid.T) {
				if x := w.waiting(); !x.call.applied {
					w.apply(x.call)
				}
			},
			"lose answer": func(*rapid.T) {
				x := w.waiting()
				if !x.call.applied {
					w.lost = append(w.lost, x.call)
				}
				w.answer(x, clstore.KindUnknown)
			},
			"apply lost request": func(*rapid.T) {
				if len(w.lost) > 0 {
					w.apply(w.lost[0])
					w.lost = w.lost[1:]
				}
			},
			"outage": func(*rapid.T) {
				if x := w.waiting(); !x.call.applied {
					w.answer(x, clstore.KindUnavailable)
				}
			},
		})
		for _, r := range w.lost {
			w.apply(r)
		}
		o, err := w.store.Get(context.Background(), HeadKey)
		head := &clstate.ConfigSnapshot{}
		require.NoError(t, proto.Unmarshal(o.Value, head))
		require.True(t, err == nil || clstore.KindOf(err) == clstore.KindNotFound)
		require.Len(t, head.Accounts, int(head.Revision), "a revision is lost or doubled")
		at := map[string]uint64{}
		for i, a := range head.Accounts {
			at[a.Name] = uint64(i + 1)
		}
		for _, x := range w.writers {
			switch s, err := x.core.Result(); {
			case s != nil:
				require.Equal(t, s.Revision, at[x.id], "accepted, but not in the history")
				require.Contains(t, []uint64{0, s.Revision - 1}, x.core.change.IfRevision, "applied to another revision")
			case err != nil && KindOf(err) != KindUnknown:
				require.Zero(t, at[x.id], "reported as not stored: %v", err)
			}
		}
	})
}

// TestHolderOnlyRises guards P10: no order of arrival makes the configuration revert.
func TestHolderOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder[*clstate.ConfigSnapshot]
		highest := uint64(0)
		for _, revision := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "revisions") {
			changed := h.Changed(highest)
			require.Equal(t, revision > highest, h.Apply(&clstate.ConfigSnapshot{Revision: revision}))
			select {
			case <-changed:
				require.Greater(t, revision, highest)
			default:
				require.LessOrEqual(t, revision, highest)
			}
			highest = max(highest, revision)
			require.Equal(t, highest, h.Revision())
		}
	})
}

// TestReadiness guards the rule of a starting process.
func TestReadiness(t *testing.T) {
	tests := []struct {
		name  string
		do    func(*Readiness)
		held  uint64
		ready bool
	}{
		{"nobody asked", func(*Readiness) {}, 3, false},
		{"nobody answered", func(r *Readiness) { r.Asked("a"); r.Failed("a") }, 3, false},
		{"one still to answer", func(r *Readiness) { r.Asked("a"); r.Asked("b"); r.Answered("a", 3) }, 3, false},
		{"one failed, one answered", func(r *Readiness) { r.Asked("a"); r.Asked("b"); r.Answered("a", 3); r.Failed("b") }, 3, true},
		{"a higher revision is known", func(r *Readiness) { r.Asked("a"); r.Answered("a", 4) }, 3, false},
		{"no configuration exists", func(r *Readiness) { r.Asked("platform"); r.Answered("platform", 0) }, 0, false},
		{"stays ready", func(r *Readiness) { r.Asked("a"); r.Answered("a", 3); r.Ready(3); r.Answered("a", 9) }, 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Readiness{}
			tt.do(r)
			require.Equal(t, tt.ready, r.Ready(tt.held))
		})
	}
}

func valid() *clstate.ConfigSnapshot {
	return &clstate.ConfigSnapshot{
		Revision:    1,
		DataCentres: []*clstate.DataCentre{{Name: "surat", State: clstate.DataCentreState_DATA_CENTRE_STATE_IN}},
		Accounts:    []*clstate.Account{{Name: "kesar", KeySha256: [][]byte{make([]byte, 32)}}},
		Services: []*clstate.Service{{
			Name: "book", Kind: clstate.ServiceKind_SERVICE_KIND_PLAIN, ActiveVersion: "v1", DataCentres: []string{"surat"},
			Versions:      []*clstate.Version{{Name: "v1"}, {Name: "v2"}},
			NonRepeatable: []*clstate.CallRule{{Method: "POST", PathPrefix: "/book"}},
			OnOutage:      clstate.OnOutage_ON_OUTAGE_REFUSE, ResendWindow: durationpb.New(24 * time.Hour),
			ColdSlots: 1, MaxSlots: 8, WarmAfter: 10,
			Placement: &clstate.PlacementTarget{RequestsPerSecond: 5, RequestsPerSecondPerEndpoint: 2},
		}},
		Moves: []*clstate.Move{{Service: "book", FromVersion: "v1", ToVersion: "v2", Deadline: timestamppb.New(time.Unix(1, 0)), SharePermille: 50}},
	}
}

// TestValidate guards each check of a snapshot; the message must name the field.
func TestValidate(t *testing.T) {
	service := func(f func(*clstate.Service)) func(*clstate.ConfigSnapshot) {
		return func(s *clstate.ConfigSnapshot) { f(s.Services[0]) }
	}
	tests := []struct {
		path  string
		fault func(*clstate.ConfigSnapshot)
	}{
		{"", func(*clstate.ConfigSnapshot) {}},
		{"configuration", func(s *clstate.ConfigSnapshot) { s.ProposalId = string(make([]byte, maxSnapshotBytes)) }},
		{`services["Book"].name`, func(s *clstate.ConfigSnapshot) { s.Services[0].Name, s.Moves = "Book", nil }},
		{`services["book"]`, func(s *clstate.ConfigSnapshot) { s.Services = append(s.Services, s.Services[0]) }},
		{`data_centres["surat"].state`, func(s *clstate.ConfigSnapshot) { s.DataCentres[0].State = 0 }},
		{`services["book"].kind`, service(func(s *clstate.Service) { s.Kind = 0 })},
		{`services["book"].active_version`, service(func(s *clstate.Service) { s.ActiveVersion = "v9" })},
		{`services["book"].active_version`, service(func(s *clstate.Service) { s.Versions[0].Suspended = true })},
		{`services["book"].data_centres`, service(func(s *clstate.Service) { s.DataCentres = nil })},
		{`services["book"].data_centres`, service(func(s *clstate.Service) { s.DataCentres = []string{"surat", "pune"} })},
		{`services["book"].cold_slots`, service(func(s *clstate.Service) { s.ColdSlots = 9 })},
		{`services["book"].warm_after`, service(func(s *clstate.Service) { s.WarmAfter = 0 })},
		{`services["book"].request_timeout`, service(func(s *clstate.Service) { s.RequestTimeout = &durationpb.Duration{} })},
		{`services["book"].non_repeatable[0]`, service(func(s *clstate.Service) { s.NonRepeatable[0].PathPrefix = "book" })},
		{`services["book"].on_outage`, service(func(s *clstate.Service) { s.OnOutage = clstate.OnOutage_ON_OUTAGE_PASS })},
		{`services["book"].on_outage`, service(func(s *clstate.Service) { s.OnOutage = 0 })},
		{`services["book"].resend_window`, service(func(s *clstate.Service) { s.ResendWindow = durationpb.New(time.Minute) })},
		{`services["book"].placement.requests_per_second`, service(func(s *clstate.Service) { s.Placement.RequestsPerSecond = -1 })},
		{`accounts["kesar"].key_sha256[0]`, func(s *clstate.ConfigSnapshot) { s.Accounts[0].KeySha256[0] = []byte("key") }},
		{`accounts["b"].key_sha256[0]`, func(s *clstate.ConfigSnapshot) {
			s.Accounts = append(s.Accounts, &clstate.Account{Name: "b", KeySha256: s.Accounts[0].KeySha256})
		}},
		{`moves["lost"]`, func(s *clstate.ConfigSnapshot) { s.Moves[0].Service = "lost" }},
		{`moves["book"]`, func(s *clstate.ConfigSnapshot) { s.Moves = append(s.Moves, s.Moves[0]) }},
		{`moves["book"]`, func(s *clstate.ConfigSnapshot) { s.Moves[0].ToVersion = "v1" }},
		{`moves["book"].share_permille`, func(s *clstate.ConfigSnapshot) { s.Moves[0].SharePermille = 1001 }},
		{`moves["book"].deadline`, func(s *clstate.ConfigSnapshot) { s.Moves[0].Deadline = nil }},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprint(i, tt.path), func(t *testing.T) {
			s := valid()
			tt.fault(s)
			err := Validate(s)
			if tt.path == "" {
				require.NoError(t, err)
				return
			}
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, tt.path, invalid.Problems[0].Path)
			require.NotEmpty(t, invalid.Problems[0].Remedy)
		})
	}
}

// TestLostAnswerThenOtherChanges guards against an unknown outcome when the
// answer of an update is lost and other changes follow before it is read back.
func TestLostAnswerThenOtherChanges(t *testing.T) {
	tests := []struct {
		name     string
		stored   bool
		others   int
		kind     Kind
		revision uint64
	}{
		{"stored, one change follows", true, 1, "", 1},
		{"stored, many follow", true, maxRecentProposals, "", 1},
		{"stored, more follow than are listed", true, maxRecentProposals + 1, KindUnknown, 0},
		{"not stored, two changes are", false, 2, "", 3},
		{"not stored, more are than are listed", false, maxRecentProposals + 2, KindUnknown, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{store: &clstore.Memory{}}
			run := func(id string) *Proposal {
				x := &writer{core: NewProposal(Change{ProposalID: id, Apply: addAccount(id)}, time.Now)}
				return w.finish(x)
			}
			a := &writer{core: NewProposal(Change{ProposalID: "a", Apply: addAccount("a")}, time.Now)}
			w.step(a)
			w.apply(a.call)
			w.answer(a, a.call.kind)
			w.step(a)
			require.Equal(t, ActionUpdate, a.call.step.Action)
			if tt.stored {
				w.apply(a.call)
			}
			w.answer(a, clstore.KindUnknown)
			for i := range tt.others {
				_, err := run(fmt.Sprint(i)).Result()
				require.NoError(t, err)
			}
			s, err := w.finish(a).Result()
			require.Equal(t, tt.kind, KindOf(err))
			require.Equal(t, tt.revision, s.GetRevision())
		})
	}
}

// finish executes the proposal's calls until its end.
func (w *world) finish(x *writer) *Proposal {
	for w.step(x); x.call != nil; w.step(x) {
		w.apply(x.call)
		w.answer(x, x.call.kind)
	}
	return x.core
}
