// This file defines the HTTP adapter of the cloud API, the list of instances
// and the weight store.

package clplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// StartInstance fails with KindRefused when the platform has no capacity.
func (h *HTTP) StartInstance(ctx context.Context, r InstanceRequest) (Instance, error) {
	c := h.cloudCall("start instance", http.MethodPost, "/cloud/instances")
	c.effect = true
	body, err := json.Marshal(r)
	if err != nil {
		return Instance{}, c.fail(KindInvalid, err)
	}
	c.body = body
	return fetch[Instance](ctx, h, c)
}

// StopInstance ends an instance.
func (h *HTTP) StopInstance(ctx context.Context, id string) error {
	c := h.cloudCall("stop instance "+id, http.MethodDelete, "/cloud/instances/"+url.PathEscape(id))
	c.effect = true
	_, err := h.do(ctx, c)
	return err
}

// Offers returns the prices of all instance classes.
func (h *HTTP) Offers(ctx context.Context) ([]Offer, error) {
	a, err := fetch[struct {
		Offers []Offer `json:"offers"`
	}](ctx, h, h.cloudCall("offers", http.MethodGet, "/cloud/offers"))
	return a.Offers, err
}

// Notices waits up to wait for notices with a sequence above after.
func (h *HTTP) Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error) {
	c := h.cloudCall("notices", http.MethodGet, "/cloud/notices?after="+strconv.FormatUint(after, 10)+waitQuery(wait))
	c.timeout += wait
	a, err := fetch[struct {
		Notices []Notice `json:"notices"`
	}](ctx, h, c)
	return a.Notices, err
}

// ListInstances returns the list of live and leaving instances, which lags.
func (h *HTTP) ListInstances(ctx context.Context) ([]Instance, error) {
	a, err := fetch[struct {
		Instances []Instance `json:"instances"`
	}](ctx, h, h.cloudCall("list instances", http.MethodGet, "/instances"))
	return a.Instances, err
}

// ReserveFetch returns how long a fetch of the model would have to wait.
func (h *HTTP) ReserveFetch(ctx context.Context, model string) (time.Duration, error) {
	c := h.cloudCall("reserve fetch of "+model, http.MethodPost, "/weights/"+url.PathEscape(model)+"/reserve")
	c.effect = true
	a, err := fetch[struct {
		WaitMs int64 `json:"wait_ms"`
	}](ctx, h, c)
	if err == nil && (a.WaitMs < 0 || a.WaitMs > int64(time.Duration(1<<63-1)/time.Millisecond)) {
		return 0, c.fail(KindUnknown, errors.Errorf("wait_ms %d is out of range", a.WaitMs))
	}
	return time.Duration(a.WaitMs) * time.Millisecond, err
}

func (h *HTTP) cloudCall(op, method, target string) call {
	return call{op: op, method: method, target: target, timeout: or(h.CloudTimeout, DefaultCallTimeout)}
}

// fetch sends the call and decodes its JSON answer.
func fetch[T any](ctx context.Context, h *HTTP, c call) (T, error) {
	var v, zero T
	a, err := h.do(ctx, c)
	if err != nil {
		return zero, err
	}
	if err := c.decode(a, &v); err != nil {
		return zero, err
	}
	return v, nil
}
