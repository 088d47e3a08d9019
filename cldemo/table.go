// This file defines the table that the demo prints.

package cldemo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

type (
	// Row is one thing that was done, with the promise and the observation.
	Row struct {
		Deployment string
		Done       string
		Took       time.Duration
		Promised   string
		Seen       string
		Kept       bool
	}

	// Table collects rows.
	Table struct {
		mu   sync.Mutex
		rows []Row
	}
)

func (t *Table) add(r Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = append(t.rows, r)
}

// Kept reports whether there are rows and every promise was kept.
func (t *Table) Kept() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if !r.Kept {
			return false
		}
	}
	return len(t.rows) > 0
}

// Write prints the rows in the order in which they were done.
func (t *Table) Write(w io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DEPLOYMENT\tDONE\tTOOK\tPROMISED\tSEEN\tKEPT")
	for _, r := range t.rows {
		kept := "yes"
		if !r.Kept {
			kept = "NO"
		}
		fmt.Fprintf(tw, "%s\t%s\t%.1f s\t%s\t%s\t%s\n", r.Deployment, r.Done, r.Took.Seconds(), r.Promised, r.Seen, kept)
	}
	return tw.Flush()
}
