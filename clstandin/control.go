// This file defines the stand-in engine's reports, orders and cache transfer.

package clstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// kvHeader is the first line of an exported KV cache; filler bytes follow.
	kvHeader struct {
		Blocks []uint64 `json:"blocks"`
		Tokens int      `json:"tokens"`
		Bytes  int64    `json:"bytes"`
	}

	// TurnColdRequest is the body of the action turn_cold, which may be empty.
	TurnColdRequest struct {
		// ColdMs is how long the engine is cold; 0 stands for ColdTime.
		ColdMs int `json:"cold_ms"`
	}

	// kvSource names a stream of another engine whose cache is imported.
	kvSource struct {
		From   netip.AddrPort `json:"from"`
		Stream string         `json:"stream"`
	}
)

func (e *Engine) routeControl() {
	e.mux.HandleFunc("GET /load", e.handleLoad)
	e.mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("GET /v1/streams/{id}/kv", e.handleExport)
	e.mux.HandleFunc("POST /v1/kv", e.handleImport)
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Stats()) })
	e.mux.HandleFunc("POST /admin/actions/turn_cold", func(w http.ResponseWriter, r *http.Request) {
		var req TurnColdRequest
		if r.ContentLength != 0 && !decode(w, r, &req) {
			return
		}
		e.TurnCold(millis(req.ColdMs))
		reply(w, http.StatusOK, struct{}{})
	})
}

// handleLoad answers with the newest report that is at least LoadLag old.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reports := e.boot.reports
	i := 0
	for i+1 < len(reports) && time.Since(reports[i+1].ProducedAt) >= e.LoadLag {
		i++
	}
	l := reports[i]
	e.mu.Unlock()
	reply(w, http.StatusOK, l)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after is not a sequence number")
		return
	}
	e.mu.Lock()
	evs := e.boot.cache.read(after, e.CacheEventLag)
	id := e.boot.id
	e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"boot_id": id, "events": evs})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o clendpoint.Order
	if !decode(w, r, &o) {
		return
	}
	if o.Action != "load" && o.Action != "role" {
		fail(w, http.StatusBadRequest, "action is not load or role")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.Fencing < e.fencing {
		fail(w, http.StatusConflict, "fencing number is old, newest is "+strconv.FormatUint(e.fencing, 10))
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	if o.Action == "role" {
		e.role = o.Role
	} else {
		time.AfterFunc(e.LoadTime, func() { e.load(o.Version) })
	}
	reply(w, http.StatusOK, struct{}{})
}

// load changes the version; new weights start cold and with an empty cache.
func (e *Engine) load(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Version == version {
		return
	}
	e.Version = version
	e.boot.coldUntil, e.boot.graceUntil = time.Now().Add(e.ColdTime), time.Time{}
	e.boot.cache.clear()
}

// clear evicts all blocks.
func (c *prefixCache) clear() {
	keep := c.capacity
	c.capacity = 0
	c.add(nil)
	c.capacity = keep
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	st := e.boot.streams[r.PathValue("id")]
	n := 0
	if st != nil {
		n = st.generated
	}
	e.mu.Unlock()
	if st == nil {
		fail(w, http.StatusNotFound, "stream is not known")
		return
	}
	h := kvHeader{
		Blocks: clendpoint.AppendBlocks(nil, st.prompt+AnswerText(st.prompt, n)), Tokens: st.usage.PromptTokens + n,
	}
	h.Bytes = int64(h.Tokens) * int64(e.KVBytesPerToken)
	line, err := json.Marshal(h)
	if err != nil {
		fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	if !sleep(r.Context(), e.transferTime(h.Bytes)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+1+h.Bytes, 10))
	_, _ = w.Write(append(line, '\n'))
	filler := bytes.Repeat([]byte{'k'}, 32<<10)
	for left := h.Bytes; left > 0; left -= int64(len(filler)) {
		if _, err := w.Write(filler[:min(left, int64(len(filler)))]); err != nil {
			return
		}
	}
}

// handleImport takes an exported cache as the body, or as JSON the engine and
// the stream to fetch it from.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var h kvHeader
	var err error
	if r.Header.Get("Content-Type") == "application/json" {
		var from kvSource
		if !decode(w, r, &from) {
			return
		}
		h, err = from.fetch(r.Context())
	} else {
		h, err = readKV(r.Body)
	}
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if !sleep(r.Context(), e.transferTime(h.Bytes)) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.boot.cache.add(h.Blocks)
	e.mu.Unlock()
	reply(w, http.StatusOK, map[string]int{"blocks": len(h.Blocks), "tokens": h.Tokens})
}

// fetch exports a stream's cache from another engine.
func (s *kvSource) fetch(ctx context.Context) (kvHeader, error) {
	target := "http://" + s.From.String() + "/v1/streams/" + url.PathEscape(s.Stream) + "/kv"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return kvHeader{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kvHeader{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kvHeader{}, errors.Errorf("engine %s answered %d", s.From, resp.StatusCode)
	}
	return readKV(resp.Body)
}

// readKV reads an exported KV cache and checks its size.
func readKV(r io.Reader) (kvHeader, error) {
	var h kvHeader
	br := bufio.NewReader(r)
	line, err := br.ReadBytes('\n')
	if err != nil {
		return h, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, err
	}
	n, err := io.Copy(io.Discard, br)
	if err == nil && n != h.Bytes {
		err = io.ErrUnexpectedEOF
	}
	return h, err
}

func (e *Engine) transferTime(n int64) time.Duration {
	if e.KVBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / e.KVBytesPerSecond * float64(time.Second))
}
