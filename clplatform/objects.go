// This file defines the HTTP adapter of the object API.

package clplatform

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Get returns the object, or an error of KindNotFound.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	c := call{op: "get " + key, method: http.MethodGet, timeout: or(h.ReadTimeout, DefaultCallTimeout), maxBytes: maxValueBytes}
	return h.object(ctx, c, key, "")
}

// Watch waits until the object's version differs from afterVersion.
func (h *HTTP) Watch(ctx context.Context, key string, afterVersion uint64, wait time.Duration) (Object, error) {
	c := call{
		op: "watch " + key, method: http.MethodGet, timeout: wait + or(h.ReadTimeout, DefaultCallTimeout), maxBytes: maxValueBytes,
	}
	return h.object(ctx, c, key, "?watch=1&after="+strconv.FormatUint(afterVersion, 10)+waitQuery(wait))
}

func (h *HTTP) object(ctx context.Context, c call, key, query string) (Object, error) {
	a, err := h.keyed(ctx, c, key, query)
	if err != nil {
		return Object{}, err
	}
	if a.status == http.StatusNotModified {
		return Object{}, c.fail(KindTimeout, errors.New("no change"))
	}
	v, err := parseETag(a.header.Get("ETag"))
	if err != nil {
		return Object{}, c.fail(KindUnavailable, err)
	}
	return Object{Key: key, Value: a.body, Version: v}, nil
}

// List returns all objects whose keys have the prefix.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	c := call{
		op: "list " + prefix, method: http.MethodGet, target: "/objects?prefix=" + url.QueryEscape(prefix),
		timeout: or(h.ReadTimeout, DefaultCallTimeout),
	}
	a, err := fetch[struct {
		Objects []Object `json:"objects"`
	}](ctx, h, c)
	return a.Objects, err
}

// Update stores value if the current version is ifVersion.
func (h *HTTP) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	c := call{
		op: "update " + key, method: http.MethodPut, body: value, header: conditionHeader(ifVersion),
		timeout: or(h.WriteTimeout, DefaultCallTimeout), effect: true,
	}
	a, err := h.keyed(ctx, c, key, "")
	if err != nil {
		return 0, err
	}
	v, err := parseETag(a.header.Get("ETag"))
	if err != nil {
		return 0, c.fail(KindUnknown, err)
	}
	return v, nil
}

// Delete removes the object if its current version is ifVersion.
func (h *HTTP) Delete(ctx context.Context, key string, ifVersion uint64) error {
	c := call{
		op: "delete " + key, method: http.MethodDelete, header: conditionHeader(ifVersion),
		timeout: or(h.WriteTimeout, DefaultCallTimeout), effect: true,
	}
	if ifVersion == 0 {
		return c.fail(KindInvalid, errors.New("version 0 cannot be deleted"))
	}
	_, err := h.keyed(ctx, c, key, "")
	return err
}

// keyed sends a call that addresses one object.
func (h *HTTP) keyed(ctx context.Context, c call, key, query string) (answer, error) {
	// A key that servers would clean up would address another object.
	if key == "" || path.Clean("/"+key) != "/"+key {
		return answer{}, c.fail(KindInvalid, errors.Errorf("key %q is not a clean path", key))
	}
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	c.target = "/objects/" + strings.Join(parts, "/") + query
	return h.do(ctx, c)
}

func conditionHeader(ifVersion uint64) http.Header {
	if ifVersion == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + strconv.FormatUint(ifVersion, 10) + `"`}}
}

// parseETag returns the version in a strong entity tag.
func parseETag(s string) (uint64, error) {
	if len(s) < 3 || s[0] != '"' || s[len(s)-1] != '"' {
		return 0, errors.Errorf("ETag %q is not a version", s)
	}
	v, err := strconv.ParseUint(s[1:len(s)-1], 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Errorf("ETag %q is not a version", s)
	}
	return v, nil
}

func waitQuery(wait time.Duration) string {
	return "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
