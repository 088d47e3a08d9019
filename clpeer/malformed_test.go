// This file tests the calls of peers against responses that are not well-formed.

package clpeer

import (
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Guards against malformed responses that count as what a peer has said.
func TestMalformedResponsesOfPeers(t *testing.T) {
	body, err := proto.Marshal(&clwire.FetchConfigResponse{Revision: 7})
	require.NoError(t, err)
	const fields = "Content-Type: application/protobuf\r\n"
	fetch := func(text string) error {
		tr := &Transport{Token: "t", Timeout: time.Second}
		_, err := tr.Peer(cltest.ServeText(t, func() string { return text })).FetchConfig(t.Context(), &clwire.FetchConfigRequest{})
		return err
	}
	require.NoError(t, fetch("HTTP/1.1 200 OK\r\n"+fields+"\r\n"+string(body)))
	for _, form := range clmalformed.Responses(fields, string(body)) {
		require.Error(t, fetch(form.Text), form.Name)
	}
}

// Guards against an answer of a peer that fills the memory.
func TestLongAnswersOfPeers(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + strings.Repeat("x", maxPeerBodyBytes+1)
	tr := &Transport{Token: "t", Timeout: 5 * time.Second}
	_, err := tr.Peer(cltest.ServeText(t, func() string { return text })).FetchConfig(t.Context(), &clwire.FetchConfigRequest{})
	require.ErrorContains(t, err, "too large")
}
