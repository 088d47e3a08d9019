// This file tests the findings about the duties in recorded log lines.

package clexplain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// Log lines of two gateways, recorded while the store returned from an older copy that held
// no lease. sampleDuties has further cases.
const (
	firstHolderLog = `
{"level":"info","time":"2026-12-07T15:21:40Z","message":"started","gateway":"edge-a-1"}
{"level":"info","time":"2026-12-07T15:21:45.034Z","message":"duty: usage report sent","window":898,"counts":{"acme":7},"fencing":1,"store_era":0,"lease":{"version":37,"age":"61.6ms","left":"771.6ms","replaced_version":0,"replaced_holder":"","replaced_fencing":0}}
`
	secondHolderLog = `
{"level":"info","time":"2026-12-07T15:21:40Z","message":"started","gateway":"edge-a-2"}
{"level":"info","time":"2026-12-07T15:21:46.168Z","message":"duty: usage report sent","window":898,"counts":{"acme":7},"fencing":1,"store_era":1,"lease":{"version":281474976710677,"age":0.072,"left":0.761,"replaced_version":0,"replaced_holder":"","replaced_fencing":0}}
`
	sampleDuties = `
  3.1 g-1 {"level":"info","time":"2026-12-07T06:00:01Z","message":"duty: usage report sent","window":10,"counts":{"x":1},"fencing":3,"store_era":0,"lease":{"version":40,"age":"1ms","left":"2s","replaced_version":30,"replaced_holder":"g-9/a","replaced_fencing":2}}
  3.2 g-2 {"level":"info","time":"2026-12-07T06:00:02Z","message":"duty: usage report sent","window":10,"counts":{"x":2},"fencing":4294967297,"store_era":1,"lease":{"version":50,"age":"1ms","left":"2s","replaced_version":0,"replaced_holder":"g-1/b","replaced_fencing":3}}
  3.3 g-3 {"level":"info","time":"2026-12-07T06:00:03Z","message":"duty: usage report sent","window":11,"counts":{"x":1},"fencing":2,"store_era":0,"lease":{"version":35,"age":"9s","left":"0s","replaced_version":20,"replaced_holder":"g-9/a","replaced_fencing":1},"error":"cloud API refused the call: another holder has a higher fencing token, or no such endpoints are available"}
  3.4 g-4 {"level":"info","time":"2026-12-07T06:00:04Z","message":"duty: scaling target sent","service":"svc","data_centre":"a","count":2,"fencing":3,"store_era":0,"lease":{"version":60,"age":"1ms","left":"2s","replaced_version":30,"replaced_holder":"g-9/a","replaced_fencing":2}}
  3.5 g-5 {"level":"info","time":"2026-12-07T06:00:05Z","message":"duty: scaling target sent","service":"svc","data_centre":"a","count":2,"fencing":3,"store_era":0,"lease":{"version":61,"age":"1ms","left":"2s","replaced_version":30,"replaced_holder":"g-9/a","replaced_fencing":2}}
  3.6 g-6 {"level":"warn","time":"2026-12-07T06:00:06Z","message":"duty: usage window is not reported: the store may have lost a report of it","window":12,"store_era":1}
  3.7 g-7 {"level":"info","time":"2026-12-07T06:00:07Z","message":"duty: usage report sent","window":13,"counts":{"x":1},"fencing":8589934593,"store_era":2}
no json
`
)

// Guards against logs of one token of two gateways that do not show whether the store
// returned from an older copy, an update of the lease took effect twice, or a gateway acted
// without the lease.
func TestFindingsOfDuties(t *testing.T) {
	for _, tc := range []struct {
		name   string
		logs   []string
		window int64
		calls  int
		want   []string
	}{
		{"one token, two eras", []string{firstHolderLog, secondHolderLog}, 898, 2, []string{
			"edge-a-1 and edge-a-2 used token 1 for usage: the store returned from an older copy between the calls, from era 0 to 1"}},
		{"different counts", []string{sampleDuties}, 10, 2, []string{"window 10 was sent by g-1 and g-2 with different counts"}},
		{"no lease, and refused", []string{sampleDuties}, 11, 1, []string{
			"g-3 called with token 2 after its lease had ended", "g-3 was refused with token 2: a holder with a higher token had called"}},
		{"not reported", []string{sampleDuties}, 12, 0, []string{
			"g-6 did not report window 12: the store may have lost a report of it, and a second one could have other counts"}},
		{"nothing wrong", []string{sampleDuties}, 13, 1, []string{}},
		{"nothing logged", []string{sampleDuties}, 14, 0, []string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, err := ReadDuties(lo.Map(tc.logs, func(log string, _ int) io.Reader { return strings.NewReader(log) })...)
			require.NoError(t, err)
			d = d.OfWindow(tc.window)
			require.Len(t, d.Calls, tc.calls)
			require.Equal(t, tc.want, d.Findings)
			var out bytes.Buffer
			require.NoError(t, d.WriteText(&out))
			require.Equal(t, max(1, len(tc.want)), strings.Count(out.String(), "finding: "))
		})
	}
	all, err := ReadDuties(strings.NewReader(sampleDuties))
	require.NoError(t, err)
	require.Contains(t, all.Findings, "g-4 and g-5 used token 3 for svc/a: both acquired the lease on version 30, so that the store accepted two updates of it")
	var out bytes.Buffer
	require.NoError(t, all.WriteText(&out))
	require.Contains(t, out.String(), "g-2                usage token 4294967297 (era 1, number 1) store_era=1 window=10 counts=map[x:2] lease_version=50 age=1ms left=2s after g-1/b with token 3 at version 0")
}

// Guards against a report of the duties that silently ends at an overlong line of a log.
func TestOverlongLineOfDutiesFails(t *testing.T) {
	_, err := ReadDuties(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "one JSON object per line")
}
