// This file plays requests that crash engines against the trackers of a fleet of
// gateways, in virtual time and without a network.

package clcrash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type (
	// crashPattern is the load "a part of prompts crashes engines": sound requests of a
	// few accounts about many subjects, and among them some that crash the engine which
	// begins to answer them.
	crashPattern struct {
		name              string
		gateways, engines int
		// rate and badRate are requests in a second.
		rate, badRate float64
		// digestInterval is the time between two digests of a gateway, and contact the
		// time within which what one knows must be known to all.
		digestInterval, contact time.Duration
		// badDepth is the position of the part that crashes engines.
		badDepth int
		// restarts is the mean time between two restarts of gateways.
		restarts time.Duration
		// losses lets engines be lost for other reasons: single ones, and a quarter of
		// them at once.
		losses bool
		// calm is the time before the first bad request, and length that of the play.
		calm, length time.Duration
		// shared lets all prompts have the same two parts, of which a bad one has another
		// at badDepth. An engine that runs is chosen, and plain endpoints answer as many
		// requests without a prompt.
		shared bool
		// before is the share of the sound requests that have the bad part until the first
		// bad request comes.
		before float64
	}

	crashPlay struct {
		crashPattern
		rnd      *rand.Rand
		now      time.Time
		trackers []*Tracker
		// engineRuns identifies the process of each engine, and downUntil is when it is
		// back after a crash.
		engineRuns []uint64
		downUntil  []time.Time
		running    []*engineRequest
		nextRun    uint64
		// crashes are the times at which engines crashed under the bad part, and
		// arrivals those at which requests with it were sent.
		crashes, arrivals []time.Time
		sound, refused    int
		// kinSound and kinRefused count the sound requests with the first part of
		// those that crash engines.
		kinSound, kinRefused int
		// soundAt and refusedAt are the times of the sound requests and of those refused.
		soundAt, refusedAt []time.Time
	}

	engineRequest struct {
		traits           []Trait
		gateway, engine  int
		beginAt, endAt   time.Time
		bad, begun, gone bool
	}
)

const (
	patternTick   = 10 * time.Millisecond
	patternLength = 30 * time.Second
	accounts      = 11
	subjects      = 380
	badID         = 999_999
	// engineRestart is how long a crashed engine is missing.
	engineRestart = 2500 * time.Millisecond
)

func newCrashPlay(p crashPattern, seed uint64) *crashPlay {
	if p.length == 0 {
		p.calm, p.length = 3*time.Second, patternLength
	}
	w := &crashPlay{crashPattern: p, rnd: rand.New(rand.NewPCG(seed, 7)), now: start}
	for range p.gateways {
		w.trackers = append(w.trackers, &Tracker{})
	}
	for range p.engines {
		w.nextRun++
		w.engineRuns, w.downUntil = append(w.engineRuns, w.nextRun), append(w.downUntil, start)
	}
	return w
}

// play plays the pattern to its end.
func (w *crashPlay) play() {
	owed, owedBad := 0.0, 0.0
	for w.now.Sub(start) < w.length {
		w.now = w.now.Add(patternTick)
		for owed += w.rate * patternTick.Seconds(); owed >= 1; owed-- {
			w.arrive(false)
		}
		if w.now.Sub(start) > w.calm {
			for owedBad += w.badRate * patternTick.Seconds(); owedBad >= 1; owedBad-- {
				w.arrive(true)
			}
		}
		w.runEngines()
		w.exchange()
		if w.restarts > 0 && w.rnd.Float64() < patternTick.Seconds()/w.restarts.Seconds() {
			w.restart(w.rnd.IntN(w.gateways))
		}
		if w.losses {
			w.loseEngines()
		}
	}
}

// restart starts a gateway again. With shared parts it reads the blocks that another one
// has recorded in the store, as one of many hears of them by digests at once.
func (w *crashPlay) restart(gateway int) {
	w.trackers[gateway] = &Tracker{}
	if w.shared {
		w.trackers[gateway].Merge(Evidence{Blocks: w.trackers[(gateway+1)%w.gateways].Blocks(w.now)}, w.now)
	}
}

// arrive sends a request to a gateway, and from there to an engine unless it is refused.
func (w *crashPlay) arrive(bad bool) {
	if w.shared {
		w.arriveShared(bad)
		return
	}
	account, subject := w.rnd.ExpFloat64(), w.rnd.IntN(subjects)
	parts := [2]uint64{1 + uint64(min(accounts-1, int(2*account))), 1000 + uint64(subject)}
	if bad && w.badDepth == 1 {
		parts[0] = 5 // one account
	}
	kin := w.badDepth == 1 && parts[0] == 5
	if bad {
		parts[w.badDepth] = badID
	}
	r := &engineRequest{
		traits:  []Trait{{ID: w.rnd.Uint64() | 1<<63, Depth: WholeRequest}, {ID: parts[0]}, {ID: parts[1], Depth: 1}},
		gateway: w.rnd.IntN(w.gateways), engine: w.rnd.IntN(w.engines), bad: bad,
	}
	_, refuses := w.trackers[r.gateway].Refuses(r.traits, w.now)
	if !bad {
		w.sound++
		if kin {
			w.kinSound++
		}
		if refuses {
			w.refused++
			if kin {
				w.kinRefused++
			}
		}
	}
	if refuses || w.downUntil[r.engine].After(w.now) {
		return
	}
	w.begin(r)
}

// begin runs a request at its engine.
func (w *crashPlay) begin(r *engineRequest) {
	if r.bad {
		w.arrivals = append(w.arrivals, w.now)
	}
	r.beginAt = w.now.Add(time.Duration(w.rnd.ExpFloat64() * float64(150*time.Millisecond)))
	r.endAt = r.beginAt.Add(100*time.Millisecond + time.Duration(w.rnd.IntN(4000))*time.Millisecond)
	w.running = append(w.running, r)
}

// arriveShared sends a request whose parts all others share, and one without a prompt.
func (w *crashPlay) arriveShared(bad bool) {
	parts := [2]uint64{1, 1000}
	if bad || w.now.Sub(start) <= w.calm && w.rnd.Float64() < w.before {
		parts[w.badDepth] = badID
	}
	r := &engineRequest{
		traits:  []Trait{{ID: w.rnd.Uint64() | 1<<63, Depth: WholeRequest}, {ID: parts[0]}, {ID: parts[1], Depth: 1}},
		gateway: w.rnd.IntN(w.gateways), bad: bad,
	}
	if !bad {
		w.trackers[w.rnd.IntN(w.gateways)].RecordSound([]Trait{{ID: w.rnd.Uint64() | 1<<63, Depth: WholeRequest}}, w.now)
		w.soundAt = append(w.soundAt, w.now)
	}
	if _, refuses := w.trackers[r.gateway].Refuses(r.traits, w.now); refuses {
		if !bad {
			w.refusedAt = append(w.refusedAt, w.now)
		}
		return
	}
	for _, i := range w.rnd.Perm(w.engines) {
		if !w.downUntil[i].After(w.now) {
			r.engine = i
			w.begin(r)
			return
		}
	}
}

// late returns how many requests with the bad part reached engines later than contact
// after the fifth crash.
func (w *crashPlay) late() int {
	if len(w.crashes) < 5 {
		return 0
	}
	known := w.crashes[4].Add(w.contact)
	return len(slices.DeleteFunc(slices.Clone(w.arrivals), func(at time.Time) bool { return !at.After(known) }))
}

// runEngines lets requests begin and end, and engines crash under bad ones.
func (w *crashPlay) runEngines() {
	for _, r := range w.running {
		if r.bad && !r.gone && !w.now.Before(r.beginAt.Add(60*time.Millisecond)) {
			w.crashes = append(w.crashes, w.now)
			w.crash(r.engine)
		}
	}
	for _, r := range w.running {
		switch {
		case r.gone:
		case !w.now.Before(r.endAt):
			r.gone = true
			w.trackers[r.gateway].RecordSound(r.traits, r.beginAt)
		case !w.now.Before(r.beginAt.Add(time.Second)) && !r.begun:
			r.begun = true
			w.trackers[r.gateway].RecordSound(r.traits, r.beginAt)
		}
	}
	w.running = slices.DeleteFunc(w.running, func(r *engineRequest) bool { return r.gone })
}

// crash ends an engine and tells the gateways with requests there.
func (w *crashPlay) crash(engine int) {
	for _, r := range w.running {
		if r.gone || r.engine != engine {
			continue
		}
		r.gone = true
		if w.now.Before(r.beginAt.Add(time.Second)) {
			w.trackers[r.gateway].Record(w.engineRuns[engine], r.traits, w.now)
		}
	}
	w.nextRun++
	w.engineRuns[engine], w.downUntil[engine] = w.nextRun, w.now.Add(engineRestart)
}

// loseEngines ends engines for reasons that have nothing to do with requests.
func (w *crashPlay) loseEngines() {
	if w.rnd.Float64() < patternTick.Seconds()/2 {
		w.crash(w.rnd.IntN(w.engines))
	}
	if w.now.Sub(start) == 8*time.Second {
		for i := range max(1, w.engines/4) {
			w.crash(i)
		}
	}
}

// exchange sends the digests that are due. One in twenty is lost.
func (w *crashPlay) exchange() {
	for i, from := range w.trackers {
		phase := w.digestInterval * time.Duration(i) / time.Duration(w.gateways)
		if (w.now.Sub(start)+phase)%w.digestInterval >= patternTick {
			continue
		}
		evidence := from.Evidence(w.now)
		for j, to := range w.trackers {
			if i != j && w.rnd.IntN(20) > 0 {
				to.Merge(evidence, w.now)
			}
		}
	}
}

// refusedShare returns the share of the sound requests that are refused from twice contact
// after the fifth crash, or the last, on.
func (w *crashPlay) refusedShare() float64 {
	from := w.crashes[min(len(w.crashes), 5)-1].Add(2 * w.contact)
	since := func(times []time.Time) float64 {
		return float64(len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) })))
	}
	return since(w.refusedAt) / since(w.soundAt)
}

// Guards against the load "a part of prompts crashes engines": gateways that go on
// sending requests with it, and gateways that refuse sound requests because their parts
// were present at crashes.
func TestPartThatCrashesEnginesUnderLoad(t *testing.T) {
	small := crashPattern{gateways: 8, engines: 12, rate: 80, badRate: 1.5, digestInterval: 200 * time.Millisecond, contact: 3 * time.Second}
	large := crashPattern{gateways: 95, engines: 64, rate: 390, badRate: 4, digestInterval: 630 * time.Millisecond, contact: 5 * time.Second}
	with := func(p crashPattern, name string, change func(p *crashPattern)) crashPattern {
		change(&p)
		p.name = name
		return p
	}
	for _, p := range []crashPattern{
		with(small, "small, second part", func(p *crashPattern) { p.badDepth = 1 }),
		with(small, "small, first part", func(*crashPattern) {}),
		with(small, "small, seldom", func(p *crashPattern) { p.badDepth, p.badRate = 1, 0.5 }),
		with(small, "small, often", func(p *crashPattern) { p.badDepth, p.badRate = 1, 10 }),
		with(small, "small, gateways restart", func(p *crashPattern) { p.badDepth, p.restarts = 1, 3*time.Second }),
		with(small, "small, engines are lost", func(p *crashPattern) { p.badDepth, p.losses = 1, true }),
		with(small, "small, engines are lost and nothing is bad", func(p *crashPattern) { p.badRate, p.losses = 0, true }),
		with(large, "large, second part", func(p *crashPattern) { p.badDepth = 1 }),
		with(large, "large, engines are lost", func(p *crashPattern) { p.losses = true }),
	} {
		for seed := range uint64(5) {
			w := newCrashPlay(p, seed)
			w.play()
			what := fmt.Sprintf("%s, seed %d: %d crashes, %d of %d sound ones refused", p.name, seed, len(w.crashes), w.refused, w.sound)
			require.LessOrEqual(t, w.late(), 3, what)
			require.LessOrEqual(t, float64(w.refused), 0.01*float64(w.sound), what)
			require.LessOrEqual(t, float64(w.kinRefused), 0.1*float64(w.kinSound), what)
			t.Log(what)
		}
	}
}

// Guards against refusing a sound part of prompts in place of the one that crashes
// engines: in a small pool, the engines crash so fast one after the other that no request
// with the sound part is answered for long in between.
func TestSoundPartIsNotRefusedInPlaceOfTheBadOne(t *testing.T) {
	for _, shape := range []crashPattern{
		{name: "first part", badDepth: 0},
		{name: "second part", badDepth: 1},
		{name: "first part, sound before", badDepth: 0, before: 0.2},
		{name: "second part, sound before", badDepth: 1, before: 0.2},
		{name: "first part, gateways restart", badDepth: 0, restarts: 5 * time.Second},
		{name: "second part, gateways restart", badDepth: 1, restarts: 5 * time.Second},
	} {
		for _, millis := range []time.Duration{200, 300, 500, 700, 1500, 3000} {
			p, interval := shape, millis*time.Millisecond
			p.gateways, p.engines, p.rate, p.badRate = 2, 3, 4, 1/interval.Seconds()
			p.digestInterval, p.contact = 200*time.Millisecond, 3*time.Second
			p.shared, p.calm, p.length = true, 7*time.Second, 47*time.Second
			lost, mostLate, most, crashes := 0, 0, 0.0, 0
			for seed := range uint64(10) {
				w := newCrashPlay(p, seed)
				w.play()
				share := w.refusedShare()
				if share > 0.5 {
					lost++
				}
				most, mostLate, crashes = max(most, share), max(mostLate, w.late()), crashes+len(w.crashes)
			}
			what := fmt.Sprintf("%s, every %s: sound requests lost in %d of 10 plays, %.2f refused at most; %d late at most; %.1f crashes", p.name, interval, lost, most, mostLate, float64(crashes)/10)
			t.Log(what)
			require.Zero(t, lost, what)
			require.LessOrEqual(t, most, 0.1, what)
			require.LessOrEqual(t, mostLate, 3, what)
		}
	}
}
