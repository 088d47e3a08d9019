// This file defines the HTTP adapter of endpoints' reports and orders.

package clendpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// AttemptHeader carries the attempt ID, which endpoints echo.
	AttemptHeader = "X-Attempt-ID"
	// maxReportBytes limits a report.
	maxReportBytes = 8 << 20
	loadPath       = "/load"
)

var (
	_ Observer = (*HTTP)(nil)
	_ Orderer  = (*HTTP)(nil)
)

// Load returns the endpoint's load report.
func (h *HTTP) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	b, err := h.exchange(ctx, Call{Endpoint: addr, Method: http.MethodGet, Path: loadPath})
	if err != nil {
		return Load{}, err
	}
	return decodeLoad(b)
}

// CacheEvents returns the events with a sequence above after. After 0, or a
// sequence that the endpoint has not reached, it returns the whole content of
// the cache as added blocks.
func (h *HTTP) CacheEvents(ctx context.Context, addr netip.AddrPort, after uint64) ([]CacheEvent, error) {
	b, err := h.exchange(ctx, Call{
		Endpoint: addr, Method: http.MethodGet, Path: "/cache/events?after=" + strconv.FormatUint(after, 10),
	})
	if err != nil {
		return nil, err
	}
	return decodeCacheEvents(b)
}

// Order gives an order to an engine.
func (h *HTTP) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return &Error{Kind: KindNotSent, Err: err}
	}
	_, err = h.exchange(ctx, Call{
		Endpoint: addr, Method: http.MethodPost, Path: "/orders", Body: b, NewConnection: true,
		Header: []Header{{Name: "Content-Type", Value: "application/json"}},
	})
	return err
}

// exchange sends a call under an attempt ID of its own and returns the whole body of a
// successful answer.
func (h *HTTP) exchange(ctx context.Context, call Call) ([]byte, error) {
	call.AttemptID, call.report = "report-"+strconv.FormatUint(h.lastReport.Add(1), 10), true
	a, err := h.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxReportBytes:
		return nil, &Error{Kind: KindBroken, Err: errors.Errorf("answer is over %d bytes", maxReportBytes)}
	case a.Status == http.StatusConflict && call.Path == "/orders":
		return nil, &Error{Kind: KindFenced, Err: errors.New("a newer fencing number has been used")}
	case a.Status < 200 || a.Status > 299:
		return nil, &Error{Kind: KindStatus, Err: errors.Errorf("%s answered %d", call.Path, a.Status)}
	}
	return b, nil
}

func decodeLoad(b []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(b, &l); err != nil {
		return Load{}, &Error{Kind: KindBroken, Err: errors.Wrap(err, "decode load report")}
	}
	if l.BootID == "" || l.Running < 0 || l.Waiting < 0 || l.KVUsedRatio < 0 {
		return Load{}, &Error{Kind: KindBroken, Err: errors.New("load report is out of range or without boot_id")}
	}
	return l, nil
}

func decodeCacheEvents(b []byte) ([]CacheEvent, error) {
	var report struct {
		Events []CacheEvent `json:"events"`
	}
	if err := json.Unmarshal(b, &report); err != nil {
		return nil, &Error{Kind: KindBroken, Err: errors.Wrap(err, "decode cache events")}
	}
	for i := 1; i < len(report.Events); i++ {
		if report.Events[i].Sequence < report.Events[i-1].Sequence {
			return nil, &Error{Kind: KindBroken, Err: errors.New("cache events are not in order")}
		}
	}
	return report.Events, nil
}
