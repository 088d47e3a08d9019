// This file tests the histories and causes derived from recorded log lines.

package clexplain

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleLog contains log lines of two gateways, recorded during a simulated day.
// The prefix of each line is a time in seconds and the name of the gateway.
const sampleLog = `
  3.0691 g-2 {"level":"info","time":"2026-02-06T18:15:01.02400469Z","message":"gateway: sent","request":"39259d4f","endpoint":"i-176e","running":4,"expected":"610ms","send":1}
  3.5184 g-2 {"level":"info","time":"2026-02-06T18:15:01.504492414Z","message":"gateway: attempt failed","request":"39259d4f","endpoint":"i-176e","outcome":"broken","caller_gone":false,"error":"broken: read answer header: EOF","errorVerbose":"long"}
no json
  5.2457 g-2 {"level":"info","time":"2026-02-06T18:15:03.245634641Z","message":"gateway: answered","request":"39259d4f","status":200,"endpoint":"i-7147","events":42,"sends":2}
  3.6 g-3 {"level":"info","time":"2026-02-06T18:15:01.6Z","message":"gateway: refused","request":"aaaa","status":503,"reason":"no_time_left","config_version":15}
  3.7 g-3 {"level":"info","time":"2026-02-06T18:15:01.7Z","message":"gateway: stream cut","request":"bbbb","last_event":7,"caller_gone":false,"last":"broken: EOF"}
  3.7 g-3 {"level":"info","time":"2026-02-06T18:15:01.8Z","message":"gateway: attempt failed","request":"cccc","outcome":"broken","caller_gone":false}
  3.8 g-3 {"level":"info","time":"2026-02-06T18:15:01.9Z","message":"gateway: refused","request":"cccc","status":502,"reason":"endpoint_failed","sends":1}
  3.8 g-3 {"level":"info","time":"2026-02-06T18:15:02.1Z","message":"gateway: answered","request":"eeee","status":503,"endpoint":"i-7147","states_not_run":false}
`

// Guards against a history that mixes up requests, loses lines or states the wrong
// cause.
func TestReadHistory(t *testing.T) {
	for _, tc := range []struct {
		requestID string
		lines     int
		cause     string
	}{
		{"39259d4f", 3, "answered with status 200 by endpoint i-7147"},
		{"aaaa", 1, "no_time_left: the prompts queued"},
		{"bbbb", 1, "the stream was interrupted after event 7"},
		{"cccc", 2, "so the request may have been executed"},
		{"eeee", 1, "answered with status 503 by endpoint i-7147, which has not stated that it did not run the request"},
		{"dddd", 0, "no gateway logged the request"},
	} {
		middle := strings.Index(sampleLog, "no json")
		h, err := ReadHistory(tc.requestID, strings.NewReader(sampleLog[middle:]), strings.NewReader(sampleLog[:middle]))
		require.NoError(t, err)
		require.Len(t, h.Lines, tc.lines, tc.requestID)
		require.Contains(t, h.Cause, tc.cause)
		var out bytes.Buffer
		require.NoError(t, h.WriteText(&out))
		require.Contains(t, out.String(), "probable cause: "+h.Cause)
		require.NotContains(t, out.String(), "errorVerbose")
	}
}

// Guards against a history that silently ends at an overlong line of a log.
func TestOverlongLineFails(t *testing.T) {
	_, err := ReadHistory("x", strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "one JSON object per line")
}

// Guards against reasons that gateways log and that the explanation does not know.
func TestEveryReasonIsExplained(t *testing.T) {
	pattern := regexp.MustCompile(`(?:errorResponse\{[^,]+, |clfleet\.Reason = |Reason = )"([a-z_]+)"`)
	found := 0
	for _, dir := range []string{"../../serving/clgateway", "../../routing/clfleet"} {
		files, err := filepath.Glob(dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			b, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range pattern.FindAllStringSubmatch(string(b), -1) {
				require.Contains(t, refusalCauses, m[1], file)
				found++
			}
		}
	}
	require.Greater(t, found, 15, "reasons in the sources")
}
