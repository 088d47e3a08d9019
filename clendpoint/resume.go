// This file defines how a stream goes on after it broke off: over a new
// connection at the same engine, or at another engine after the tokens that
// the caller already has.

package clendpoint

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// continueField is the field of a completion request that carries the tokens
// of the answer generated so far.
const continueField = "continue_tokens"

// ResumeCall returns the call that goes on with an engine's stream after the
// first position tokens; Endpoint and Timeouts are left to the caller.
func ResumeCall(streamID string, position int) Call {
	return Call{
		Method: "POST", Path: "/v1/streams/" + url.PathEscape(streamID) + "/resume",
		Header: []Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   []byte(`{"position":` + strconv.Itoa(position) + `}`),
	}
}

// ImportCall returns the call with which an engine fetches the KV cache of a
// stream from another engine; Endpoint and Timeouts are left to the caller.
func ImportCall(from netip.AddrPort, streamID string) (Call, error) {
	body, err := json.Marshal(map[string]string{"from": from.String(), "stream": streamID})
	if err != nil {
		return Call{}, errors.Wrap(err, "encode cache source")
	}
	return Call{
		Method: "POST", Path: "/v1/kv", Header: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: body,
	}, nil
}

// ContinueBody returns the body of a completion request whose answer goes on
// after the given tokens.
func ContinueBody(body []byte, tokens []string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode completion request")
	}
	var earlier []string
	if raw, ok := fields[continueField]; ok {
		if err := json.Unmarshal(raw, &earlier); err != nil {
			return nil, errors.Wrap(err, "decode "+continueField)
		}
	}
	b, err := json.Marshal(append(earlier, tokens...))
	if err != nil {
		return nil, errors.Wrap(err, "encode tokens")
	}
	fields[continueField] = b
	return json.Marshal(fields)
}
