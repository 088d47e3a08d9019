package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clstandin"
)

// TestFlags guards against a flag that does not reach its stand-in, and
// against a stand-in that does not stop.
func TestFlags(t *testing.T) {
	tests := []struct {
		args  []string
		path  string
		check func(t *testing.T, d *json.Decoder)
	}{
		{[]string{"platform", "--offers", `[{"data_centre":"a","class":"s","price_per_hour":2}]`}, "/cloud/offers",
			func(t *testing.T, d *json.Decoder) {
				var v struct {
					Offers []map[string]any `json:"offers"`
				}
				require.NoError(t, d.Decode(&v))
				require.Equal(t, 2.0, v.Offers[0]["price_per_hour"])
			}},
		{[]string{"engine", "--service", "x", "--version", "v9", "--cold-time", "1h", "--faults", `{"leaving":true}`}, "/load",
			func(t *testing.T, d *json.Decoder) {
				var l clendpoint.Load
				require.NoError(t, d.Decode(&l))
				require.Equal(t, []any{"x", "v9", true, true}, []any{l.Service, l.Version, l.Cold, l.Leaving})
			}},
		{[]string{"booking", "--faults", `{"slow_ms":1}`}, "/admin/faults", func(t *testing.T, d *json.Decoder) {
			var f clstandin.Faults
			require.NoError(t, d.Decode(&f))
			require.Equal(t, 1, f.SlowMs)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.args[0], func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			started, ended := make(chan netip.AddrPort, 1), make(chan error, 1)
			onStart = func(a netip.AddrPort) { started <- a }
			cmd := &cli.Command{Commands: []*cli.Command{platformCommand(), engineCommand(), bookingCommand()}}
			go func() { ended <- cmd.Run(ctx, append([]string{"chestnutstand"}, tt.args...)) }()
			select {
			case a := <-started:
				resp, err := http.Get("http://" + a.String() + tt.path)
				require.NoError(t, err)
				tt.check(t, json.NewDecoder(resp.Body))
				resp.Body.Close()
			case err := <-ended:
				t.Fatal("did not start: ", err)
			}
			cancel()
			select {
			case err := <-ended:
				require.NoError(t, err)
			case <-time.After(drainTimeout):
				t.Fatal("did not stop")
			}
		})
	}
	cmd := &cli.Command{Commands: []*cli.Command{bookingCommand()}}
	require.ErrorContains(t, cmd.Run(context.Background(), []string{"x", "booking", "--listen", "nowhere"}), "--listen")
}
