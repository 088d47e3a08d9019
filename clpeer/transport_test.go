package clpeer

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// TestGuard guards against processes without the peer credential, and against
// other credentials that pass for it.
func TestGuard(t *testing.T) {
	tests := []struct {
		name, token, header string
		want                int
	}{
		{"right", "secret", "Peer secret", http.StatusOK},
		{"wrong", "secret", "Peer other", http.StatusUnauthorized},
		{"a caller's scheme", "secret", "Bearer secret", http.StatusUnauthorized},
		{"missing", "secret", "", http.StatusUnauthorized},
		{"no token set", "", "Peer ", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := (&Transport{Token: tt.token}).Guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(""))
			r.Header.Set("Authorization", tt.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			require.Equal(t, tt.want, w.Code)
		})
	}
}

// TestExchangeRoundTrip guards against fields that are lost between the core
// and the wire.
func TestExchangeRoundTrip(t *testing.T) {
	m := clmember.Member{
		ID: "m1", Address: netip.MustParseAddrPort("127.0.0.1:7000"), DataCentre: "a", Region: "r", Role: "entry",
		Incarnation: 3, State: clmember.Suspect,
	}
	want := clmember.Exchange{
		From: m, Changes: []clmember.Member{m}, ConfigRevision: 7, MembershipHash: 9,
		Facts: []clmember.Fact{{
			ID: "f", Origin: "m1", Kind: clmember.EndpointLeaving, Time: time.UnixMilli(1_700_000_000_000), Lifetime: time.Minute,
			Subject: "e1", Detail: "d", Urgent: true,
		}},
	}
	b, err := proto.Marshal(exchangeToRequest(want))
	require.NoError(t, err)
	var msg clwire.ExchangeRequest
	require.NoError(t, proto.Unmarshal(b, &msg))
	got, ok := exchangeFromWire(&msg)
	require.True(t, ok)
	require.Equal(t, want, got)
}

// FuzzExchange guards against panics on any message that a peer port receives,
// and against members without a usable address.
func FuzzExchange(f *testing.F) {
	seed, err := proto.Marshal(&clwire.ExchangeRequest{From: &clwire.Member{Id: "a", Address: "127.0.0.1:1", State: 1}})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var msg clwire.ExchangeRequest
		if proto.Unmarshal(b, &msg) != nil {
			return
		}
		e, ok := exchangeFromWire(&msg)
		if ok {
			require.True(t, e.From.Address.IsValid())
		}
		for _, m := range e.Changes {
			require.NotEmpty(t, m.ID)
		}
	})
}
