// This file tests explanations on recorded log lines.

package clexplain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recorded are lines of a played day, of two gateways, with a prefix before each.
const recorded = `
  3.0691 g-2 {"level":"info","time":"2026-02-06T18:15:01.02400469Z","message":"gateway: sent","request":"39259d4f","endpoint":"i-176e","running":4,"expected":"610ms","send":1}
  3.5184 g-2 {"level":"info","time":"2026-02-06T18:15:01.504492414Z","message":"gateway: attempt failed","request":"39259d4f","endpoint":"i-176e","outcome":"broken","caller_gone":false,"error":"broken: read answer header: EOF","errorVerbose":"long"}
no json
  5.2457 g-2 {"level":"info","time":"2026-02-06T18:15:03.245634641Z","message":"gateway: answered","request":"39259d4f","status":200,"endpoint":"i-7147","events":42,"sends":2}
  3.6 g-3 {"level":"info","time":"2026-02-06T18:15:01.6Z","message":"gateway: refused","request":"aaaa","status":503,"reason":"no_time_left","config_version":15}
  3.7 g-3 {"level":"info","time":"2026-02-06T18:15:01.7Z","message":"gateway: stream cut","request":"bbbb","last_event":7,"caller_gone":false,"last":"broken: EOF"}
  3.7 g-3 {"level":"info","time":"2026-02-06T18:15:01.8Z","message":"gateway: attempt failed","request":"cccc","outcome":"broken","caller_gone":false}
  3.8 g-3 {"level":"info","time":"2026-02-06T18:15:01.9Z","message":"gateway: refused","request":"cccc","status":502,"reason":"endpoint_failed","sends":1}
`

// Guards against an explanation that mixes requests up, loses lines or names another cause.
func TestExplain(t *testing.T) {
	for _, tc := range []struct {
		request string
		lines   int
		cause   string
	}{
		{"39259d4f", 3, "answered with status 200 by endpoint i-7147"},
		{"aaaa", 1, "no_time_left: the prompts that waited"},
		{"bbbb", 1, "the stream broke after event 7"},
		{"cccc", 2, "so that it may have run"},
		{"dddd", 0, "no gateway has logged the request"},
	} {
		half := strings.Index(recorded, "no json")
		h, err := ReadHistory(tc.request, strings.NewReader(recorded[half:]), strings.NewReader(recorded[:half]))
		require.NoError(t, err)
		require.Len(t, h.Lines, tc.lines, tc.request)
		require.Contains(t, h.Cause, tc.cause)
		var out bytes.Buffer
		require.NoError(t, h.WriteText(&out))
		require.Contains(t, out.String(), "probable cause: "+h.Cause)
		require.NotContains(t, out.String(), "errorVerbose")
	}
}

// Guards against a log that is cut short without a word.
func TestLongLineIsAnError(t *testing.T) {
	_, err := ReadHistory("x", strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "one JSON object a line")
}
