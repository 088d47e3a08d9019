// This file tests the requests that a reader accepts.

package clmirror

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that makes the reader allocate what it announces, or crash, and
// against a check that refuses the requests of followers.
func TestRequestMessages(t *testing.T) {
	var whole bytes.Buffer
	request := feedRequest{Positions: map[string]Position{}, Wait: time.Second}
	for _, name := range []string{"one", "two", "three", "four", "five"} {
		request.Positions[name] = Position{}
	}
	require.NoError(t, gob.NewEncoder(&whole).Encode(request))
	require.NoError(t, checkMessages(whole.Bytes()))
	for _, body := range [][]byte{whole.Bytes()[:whole.Len()-1], {0x80}, {0xff}, {0xfd, 0xf0, 0, 0, 1}, bytes.Repeat([]byte{0xf8}, 9), {5, 1}} {
		require.Error(t, checkMessages(body), "%x", body)
		w := httptest.NewRecorder()
		(&Replicator{}).handleFeed(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, w.Code)
	}
}
