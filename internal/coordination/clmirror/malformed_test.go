// This file tests a follower against responses that are not well-formed.

package clmirror

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { cltest.Main(m, map[string]string{"seed": "1"}) }

// Guards against copies that are taken from a response which is not well-formed, or not
// whole.
func TestMalformedResponsesOfReaders(t *testing.T) {
	var body bytes.Buffer
	require.NoError(t, gob.NewEncoder(&body).Encode(feedAnswer{Changes: map[string][]byte{}, Age: 1}))
	ask := func(text string) error {
		addr := cltest.ServeText(t, func() string { return text })
		r := &Replicator{Readers: func() []netip.AddrPort { return nil }, Logger: zap.NewNop()}
		r.client.Transport = &http.Transport{DialContext: clframing.Dial((&net.Dialer{}).DialContext), DisableKeepAlives: true}
		_, err := r.requestChanges(t.Context(), addr, feedRequest{})
		return err
	}
	require.NoError(t, ask("HTTP/1.1 200 OK\r\n\r\n"+body.String()))
	for _, form := range clmalformed.Responses("", body.String()) {
		require.Error(t, ask(form.Text), form.Name)
	}
}
