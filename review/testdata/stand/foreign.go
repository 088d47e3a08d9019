// This file defines the case of an entry of another writer among the workers.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

const (
	foreignID = "x-staging-1"
	// foreignRequests are sent evenly over foreignSpan.
	foreignRequests = 60
	foreignSpan     = 9 * time.Second
)

// foreignEntry lets another writer leave an entry without the field version among the
// workers, and sends bookings.
func foreignEntry(f *fleet, trouble bool) (string, error) {
	if err := f.configure(1, plainTimeout); err != nil {
		return "", err
	}
	if err := f.addDesk(); err != nil {
		return "", err
	}
	if err := f.startGateways("tbilisi-a", "tbilisi-b"); err != nil {
		return "", err
	}
	addr, err := f.serve(&worker{id: foreignID, record: f.record})
	if err != nil {
		return "", err
	}
	if trouble {
		f.store.Put(cladapter.KindServers, foreignID, map[string]any{
			"service": "desk", "address": addr, "zone": "tbilisi-a", "slots": 24, "state": "ready", "seq": 1,
		})
		f.record.addf("another writer leaves the entry %s, which has no version", foreignID)
	}
	for i := range foreignRequests {
		c, err := connect(f.gateways[i%len(f.gateways)].front)
		if err != nil {
			return "", err
		}
		if a := f.send(c, booking("b", i, 15*time.Millisecond)); a.status != http.StatusOK {
			f.record.addf("booking %d was not served", i)
		}
		_ = c.Close()
		time.Sleep(foreignSpan / foreignRequests)
	}
	ran := 0
	for _, l := range f.record.lines {
		if strings.Contains(l, "worker "+foreignID+" begins to run") {
			ran++
		}
	}
	f.record.addf("%d of %d bookings ran at %s, which is no worker", ran, foreignRequests, foreignID)
	if ran > 0 {
		return fmt.Sprintf("ROUTE: %d requests ran at a server that no usable entry names", ran), nil
	}
	return "", nil
}
