// This file tests endpoints that send copies of any earlier responses at any time.

package clgateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// copySeeds fix the choices of endpoints and callers, but not how these interleave.
var copySeeds = []uint64{1, 2}

type (
	// randomEndpoint refuses, runs and fails requests, and sends copies of its responses.
	randomEndpoint struct {
		mu  sync.Mutex
		rnd *rand.Rand
		// runs counts the runs of each request by its nonce, which begins its body.
		runs map[string]int
		// sent holds the responses after which a connection stayed open.
		sent   map[net.Conn][]string
		copies int
	}

	// outcome is what the caller of a request got; err is set if it got no whole response.
	outcome struct {
		path, nonce, seal, body string
		status                  int
		err                     error
	}
)

// serve is the script of the endpoint. It sends copies before it reads a body.
func (e *randomEndpoint) serve(c net.Conn, r *http.Request) bool {
	e.mu.Lock()
	early := e.copiesOn(c, e.rnd.IntN(3), 2)
	e.mu.Unlock()
	_, writeErr := io.WriteString(c, early)
	body, readErr := io.ReadAll(r.Body)
	if writeErr != nil || readErr != nil {
		return false
	}
	nonce, _, _ := strings.Cut(string(body), "|")
	e.mu.Lock()
	text, keep := e.response(r, nonce)
	late, split := "", len(text)/(1+e.rnd.IntN(2))
	if keep {
		e.sent[c] = append(e.sent[c], text)
		late = e.copiesOn(c, 1, 6)
	}
	pause := time.Duration(e.rnd.IntN(3)) * time.Millisecond
	e.mu.Unlock()
	for _, part := range []string{text[:split], text[split:], late} {
		time.Sleep(pause)
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
	}
	return keep
}

// copiesOn returns up to n earlier responses on the connection, each with a chance of 1/odds.
func (e *randomEndpoint) copiesOn(c net.Conn, n, odds int) (text string) {
	for range n {
		if sent := e.sent[c]; len(sent) > 0 && e.rnd.IntN(odds) == 0 {
			text += sent[e.rnd.IntN(len(sent))]
			e.copies++
		}
	}
	return text
}

// response runs or refuses a request; keep is set if the connection stays open after it.
func (e *randomEndpoint) response(r *http.Request, nonce string) (text string, keep bool) {
	echo := "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n"
	kind := e.rnd.IntN(10)
	if kind < 3 {
		status := []string{"503 A", "429 B", "421 C", "400 D", "408 E"}[e.rnd.IntN(5)]
		return e.frame(status+echo+"X-Not-Run: 1\r\n", []string{"", "busy"}[e.rnd.IntN(2)])
	}
	e.runs[nonce]++
	if isStream(r.RequestURI) {
		after, _ := strconv.Atoi(r.Header.Get("X-Resume"))
		text, keep = e.stream(echo+"X-Seal: "+nonce+"\r\n", nonceEvents(nonce)[after:])
	} else {
		answer := [][]string{{"500 F", nonce}, {"503 G", ""}, {"200 OK", ""}, {"200 OK", nonce}}[min(kind-3, 3)]
		text, keep = e.frame(answer[0]+echo+"X-Seal: "+nonce+"\r\n", answer[1])
	}
	if strings.HasPrefix(text, "HTTP/1.1") && e.rnd.IntN(10) == 0 {
		text = "HTTP/1.1 103 Early Hints" + echo + "\r\n" + text
	}
	return text, keep
}

// frame returns a response with the given body in one of the framings of HTTP.
func (e *randomEndpoint) frame(header, body string) (text string, keep bool) {
	proto := []string{"HTTP/1.0 ", "HTTP/1.1 "}[min(e.rnd.IntN(20), 1)]
	keep = proto == "HTTP/1.1 "
	if e.rnd.IntN(25) == 0 {
		header, keep = header+"Connection: close\r\n", false
	}
	switch {
	case proto == "HTTP/1.1 " && e.rnd.IntN(4) == 0:
		end := chunk("") // It is also all of an empty body.
		return proto + header + "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimPrefix(chunk(body), end) + end, keep
	case e.rnd.IntN(40) == 0:
		return proto + header + "\r\n" + body, false
	}
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", proto, header, len(body), body), keep
}

// stream returns a response with the events. One in four breaks off before its end.
func (e *randomEndpoint) stream(header string, events []string) (text string, keep bool) {
	text, end := "HTTP/1.1 200 OK"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("")
	if e.rnd.IntN(4) == 0 {
		events, end = events[:e.rnd.IntN(len(events)+1)], ""
	}
	for _, event := range events {
		text += chunk(event)
	}
	return text + end, end != ""
}

func isStream(path string) bool { return path == "/stream/1" || path == "/resume/1" }

// nonceEvents returns the events of the stream that answers the request with the nonce.
func nonceEvents(nonce string) (events []string) {
	for id := range 5 {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, nonce))
	}
	return events
}

// violation returns what is wrong with the outcome of a request with that many runs, or "".
func (o *outcome) violation(runs int) string {
	all, mayBeEmpty := o.nonce, o.status == http.StatusOK
	if isStream(o.path) {
		all, mayBeEmpty = strings.Join(nonceEvents(o.nonce), ""), false
	}
	own := o.seal == o.nonce && (o.body == all || o.body == "" && mayBeEmpty || o.err != nil && strings.HasPrefix(all, o.body))
	switch {
	case promisesNotRun(o.status) && runs > 0:
		return "REFUSED"
	case (o.status == http.StatusOK || o.status == http.StatusInternalServerError) && !own:
		return "MIXED"
	case (o.path == "/book/1" || o.path == "/stream/1") && runs > 1:
		return "TWICE"
	}
	return ""
}

// send returns the outcome of a request to one of the paths, with one of few IDs.
func (env *testEnv) send(rnd *rand.Rand, paths []string, nonce string) *outcome {
	path := paths[rnd.IntN(len(paths))]
	r := env.request(path, "f", nonce+"|"+strings.Repeat("b", []int{0, 10, 100_000}[rnd.IntN(3)]))
	r.Header.Set("X-Id", fmt.Sprint("id", rnd.IntN(6)))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return &outcome{path: path, nonce: nonce, err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return &outcome{path, nonce, resp.Header.Get("X-Seal"), string(body), resp.StatusCode, err}
}

// testRandomCopies fails on a violation, or if the given effect or a common one is missing.
func testRandomCopies(t *testing.T, effect string, paths ...string) {
	for _, seed := range copySeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			e := &randomEndpoint{rnd: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, sent: map[net.Conn][]string{}}
			env := newTestEnv(t, e.serve, e.serve, e.serve)
			env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = 1 << 20 })
			for i, known := range slices.Repeat(env.gateway.Fleet.Endpoints("s"), 20) { // Share their connections.
				env.gateway.Fleet.Put(clcatalog.Endpoint{ID: fmt.Sprint("x", i), Service: "s", Address: known.Address, DataCentre: "a", Slots: 8}, time.Now())
			}
			outcomes := make([][]*outcome, 8)
			var callers sync.WaitGroup
			for i := range outcomes {
				callers.Go(func() {
					rnd, end := rand.New(rand.NewPCG(seed, uint64(i)+1)), time.Now().Add(2*time.Second)
					for time.Now().Before(end) {
						outcomes[i] = append(outcomes[i], env.send(rnd, paths, fmt.Sprintf("n%d-%05d", i, len(outcomes[i]))))
					}
				})
			}
			callers.Wait()
			time.Sleep(100 * time.Millisecond) // A request may run after its caller got a response.
			e.mu.Lock()
			defer e.mu.Unlock()
			got, violations := map[string]int{"copies": e.copies, "ran": len(e.runs), "refused": int(env.promises("503", basisStated))}, []string(nil)
			for _, o := range slices.Concat(outcomes...) {
				runs := e.runs[o.nonce]
				if v := o.violation(runs); v != "" {
					violations = append(violations, fmt.Sprintf("%s: %s %s: %d, seal %q, body %q, %v, %d runs", v, o.path, o.nonce, o.status, o.seal, o.body, o.err, runs))
					got[v]++
				}
				got[fmt.Sprintf("%d whole=%t rerun=%t", o.status, o.err == nil, runs > 1)]++
			}
			t.Logf("seed %d: %v", seed, got)
			require.Empty(t, violations[:min(5, len(violations))], "seed %d: the first of %d violations", seed, len(violations))
			for _, effect := range []string{"copies", "ran", "refused", "200 whole=true rerun=false", effect} {
				require.Positive(t, got[effect], "seed %d: no %q in %v", seed, effect, got)
			}
		})
	}
}

// Guards against a caller that gets a refusal of a request that ran (REFUSED), an answer or
// a failure of another request (MIXED), or two runs of a request that may run once (TWICE).
func TestRandomCopies(t *testing.T) {
	testRandomCopies(t, "500 whole=true rerun=false", "/book/1", "/get/1")
}

// Guards against the same with streams that break off and are resumed (REFUSED, MIXED, TWICE).
func TestRandomCopiesOfStreams(t *testing.T) {
	testRandomCopies(t, "200 whole=true rerun=true", "/stream/1", "/resume/1")
}
