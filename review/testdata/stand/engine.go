// This file defines model workers that a part of a prompt crashes.

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

// engine answers with a stream, and ends its process when it begins to write an answer
// on a prompt with the part poisonPart.
type engine struct{ id string }

const (
	poisonPart   = "bad0"
	engineEvents = 25
	// firstToken is the time until an engine begins to write an answer, and eventGap that
	// between events.
	firstToken = 40 * time.Millisecond
	eventGap   = 100 * time.Millisecond
)

// runEngine serves requests until one crashes the process.
func runEngine(id, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	return http.Serve(ln, &engine{id})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(cladapter.HeaderRequestID)
	w.Header().Set(cladapter.HeaderRequestID, id)
	if r.Header.Get(cladapter.HeaderInstance) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Printf("engine %s begins to run %s\n", e.id, id)
	time.Sleep(firstToken)
	if strings.Contains(r.Header.Get(cladapter.HeaderPrompt), poisonPart+":") {
		fmt.Printf("engine %s crashes as it begins to write an answer to %s\n", e.id, id)
		os.Exit(1)
	}
	w.Header().Set(cladapter.HeaderSeal, "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(cladapter.HeaderResume), &after) // 0 for a first run
	for n := after + 1; n <= engineEvents; n++ {
		if _, err := io.WriteString(w, piece(id, n)); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}
