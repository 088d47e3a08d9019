// This file tests the client of the object API against responses that are not well-formed.

package clplatform

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
)

// Guards against malformed responses that count as what the object API has said.
func TestMalformedResponsesOfTheObjectAPI(t *testing.T) {
	get := func(text string) error {
		h := &HTTP{Address: cltest.ServeText(t, func() string { return text })}
		defer h.Close()
		_, err := h.do(t.Context(), call{op: "get", method: "GET", target: "/objects/a", timeout: DefaultConnectTimeout})
		return err
	}
	require.NoError(t, get("HTTP/1.1 200 OK\r\nETag: \"3\"\r\n\r\nvalue"))
	for _, form := range clmalformed.Responses("ETag: \"3\"\r\n", "value") {
		require.Error(t, get(form.Text), form.Name)
	}
}
