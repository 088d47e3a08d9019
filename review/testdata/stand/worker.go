// This file defines the workers of a plain service.

package main

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

// worker is a sound worker of a plain service. The work of a request is the query's
// parameter work, in milliseconds.
type worker struct {
	id     string
	record *record
}

// linkDelay is the time one way between a worker and a gateway of another zone.
const linkDelay = 1400 * time.Microsecond

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(linkDelay)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(cladapter.HeaderRequestID)
	rw.Header().Set(cladapter.HeaderRequestID, id)
	if r.Header.Get(cladapter.HeaderInstance) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.record.addf("worker %s begins to run %s", w.id, id)
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	work, status := time.Duration(ms)*time.Millisecond, http.StatusOK
	// A worker stops work at the deadline that it receives.
	if left, err := strconv.Atoi(r.Header.Get(cladapter.HeaderDeadline)); err == nil && time.Duration(left)*time.Millisecond < work {
		work, status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		w.record.addf("worker %s drops %s, whose connection has closed", w.id, id)
		return
	}
	time.Sleep(linkDelay)
	rw.Header().Set(cladapter.HeaderSeal, "seal."+w.id+"."+id)
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, "answer to "+id) // an error means that the gateway has left
	w.record.addf("worker %s answered %s with %d", w.id, id, status)
}
