// This file defines the stand-in of a plain booking service.

package clstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// Booking is a stand-in of a plain service that counts how often each
	// booking ran. Its exported fields are set before Start.
	Booking struct {
		Server
		Service, Version string
		// Delay is how long a booking takes after it was counted.
		Delay time.Duration
		// Deduplicate answers a repeated Idempotency-Key with the first run's answer.
		Deduplicate bool

		mu       sync.Mutex
		bootID   string
		inFlight int
		peak     int
		calls    uint64
		reads    uint64
		keys     map[string]int
		bodies   map[string]int
		first    map[string]*run
	}

	// run is the first run of a key; done is closed when its answer is complete.
	run struct {
		done   chan struct{}
		answer bookingAnswer
	}

	bookingAnswer struct {
		Booking string `json:"booking"`
		Key     string `json:"key"`
		// Run is the number of runs of this key so far, this one included.
		Run  int    `json:"run"`
		Body string `json:"body_sha256"`
	}

	// BookingStats is the answer of the booking service's /stats.
	BookingStats struct {
		BootID string `json:"boot_id"`
		// Calls counts bookings that arrived, Reads other requests.
		Calls uint64 `json:"calls"`
		Reads uint64 `json:"reads"`
		Peak  int    `json:"peak"`
		// Keys and Bodies count the runs by Idempotency-Key and by SHA-256 of the body.
		Keys   map[string]int `json:"keys"`
		Bodies map[string]int `json:"bodies"`
		// MaxRuns is the highest count in Keys.
		MaxRuns  int      `json:"max_runs"`
		Arrivals Arrivals `json:"arrivals"`
	}
)

// Start listens and serves until Close.
func (b *Booking) Start() error {
	b.Server.init()
	b.keys, b.bodies, b.first = make(map[string]int), make(map[string]int), make(map[string]*run)
	b.bootID = uuid.NewString()
	b.Server.running = func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.inFlight
	}
	// The counts outlive a crash, because they stand for the outside world.
	b.Server.onCrash = func(string) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.bootID = uuid.NewString()
	}
	b.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, b.Stats()) })
	b.mux.HandleFunc("GET /load", b.handleLoad)
	b.mux.HandleFunc("/", b.handleCall)
	return b.start()
}

// Stats returns how often each booking ran.
func (b *Booking) Stats() BookingStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := BookingStats{
		BootID: b.bootID, Calls: b.calls, Reads: b.reads, Peak: b.peak, Keys: make(map[string]int), Bodies: make(map[string]int),
		Arrivals: b.Arrivals(),
	}
	for k, n := range b.keys {
		s.Keys[k] = n
		s.MaxRuns = max(s.MaxRuns, n)
	}
	for k, n := range b.bodies {
		s.Bodies[k] = n
	}
	return s
}

func (b *Booking) handleLoad(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	l := clendpoint.Load{
		BootID: b.bootID, ProducedAt: time.Now(), Running: b.inFlight, Leaving: b.faults.get().Leaving,
		Service: b.Service, Version: b.Version,
	}
	b.mu.Unlock()
	reply(w, http.StatusOK, l)
}

func (b *Booking) handleCall(w http.ResponseWriter, r *http.Request) {
	status, answer := b.run(r)
	reply(w, status, answer)
}

// run returns the status and the answer of a call.
func (b *Booking) run(r *http.Request) (int, any) {
	b.enter()
	defer b.leave()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		b.mu.Lock()
		b.reads++
		b.mu.Unlock()
		return http.StatusOK, map[string]string{"path": r.URL.Path}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	sum := sha256.Sum256(body)
	a, first := b.book(r.Header.Get("Idempotency-Key"), hex.EncodeToString(sum[:]))
	if first == nil { // a repeated key
		return http.StatusOK, a
	}
	// A booking that was counted takes place even if the caller goes away.
	time.Sleep(b.Delay)
	close(first.done)
	return http.StatusOK, a
}

// book counts a run; the returned run is nil if the answer is a former one's.
func (b *Booking) book(key, digest string) (bookingAnswer, *run) {
	b.mu.Lock()
	b.calls++
	if former := b.first[key]; b.Deduplicate && key != "" && former != nil {
		b.mu.Unlock()
		<-former.done
		return former.answer, nil
	}
	defer b.mu.Unlock()
	if key != "" {
		b.keys[key]++
	}
	b.bodies[digest]++
	n := &run{
		done:   make(chan struct{}),
		answer: bookingAnswer{Booking: uuid.NewString(), Key: key, Run: b.keys[key], Body: digest},
	}
	if b.first[key] == nil {
		b.first[key] = n
	}
	return n.answer, n
}

func (b *Booking) enter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
}

func (b *Booking) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}
