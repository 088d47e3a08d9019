// This file collects the calls of the duties' holders and finds what is wrong with them.

package clexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

type (
	// DutyCall is a call to the cloud API, as the gateway that made it logged it.
	DutyCall struct {
		Time    time.Time `json:"time"`
		Gateway string    `json:"gateway"`
		// Subject is "usage", or the service and the data centre of a scaling target.
		Subject string `json:"subject"`
		// Window and Counts are those of a usage report.
		Window int64             `json:"window,omitempty"`
		Counts map[string]uint64 `json:"counts,omitempty"`
		// Fencing is the fencing token, and Era the store's era at the call.
		Fencing uint64 `json:"fencing"`
		Era     uint64 `json:"store_era"`
		// Lease is where the token comes from, or nil if the log does not say.
		Lease *LeaseOrigin `json:"lease,omitempty"`
		// Error is why the call failed, or empty.
		Error string `json:"error,omitempty"`
	}

	// LeaseOrigin is where a fencing token comes from.
	LeaseOrigin struct {
		// Version is that of the lease's last confirmed update, Age the time since that
		// update was sent, and Left how long the lease was still trusted.
		Version uint64   `json:"version"`
		Age     interval `json:"age"`
		Left    interval `json:"left"`
		// ReplacedVersion is the version on which the lease was acquired, or 0 if there
		// was none; ReplacedHolder and ReplacedFencing are its holder and token.
		ReplacedVersion uint64 `json:"replaced_version"`
		ReplacedHolder  string `json:"replaced_holder"`
		ReplacedFencing uint64 `json:"replaced_fencing"`
	}

	// Duties is what the logs contain about the duties.
	Duties struct {
		// Calls are the calls in the order of their times.
		Calls []DutyCall `json:"calls"`
		// Unreported are the gateways that did not report a window although they had
		// counts of it, by window.
		Unreported map[int64][]string `json:"unreported,omitempty"`
		// Findings say what is wrong, in sentences.
		Findings []string `json:"findings"`
	}

	// interval is a duration that a log may hold as text or as a number of seconds.
	interval time.Duration

	// dutyLine is a log line about the duties.
	dutyLine struct {
		Time       time.Time         `json:"time"`
		Message    string            `json:"message"`
		Gateway    string            `json:"gateway"`
		Window     int64             `json:"window"`
		Counts     map[string]uint64 `json:"counts"`
		Service    string            `json:"service"`
		DataCentre string            `json:"data_centre"`
		Fencing    uint64            `json:"fencing"`
		Era        uint64            `json:"store_era"`
		Lease      *LeaseOrigin      `json:"lease"`
		Error      string            `json:"error"`
	}
)

const (
	usageSubject = "usage"
	// tokenEraBits is the number of bits of a fencing token that count the holders of an era.
	tokenEraBits = 32
)

// UnmarshalJSON implements json.Unmarshaler.
func (d *interval) UnmarshalJSON(b []byte) error {
	var seconds float64
	if json.Unmarshal(b, &seconds) == nil {
		*d = interval(seconds * float64(time.Second))
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = interval(parsed)
	return err
}

// MarshalJSON implements json.Marshaler.
func (d interval) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// ReadDuties collects the calls of the duties' holders from several logs and sorts them
// by time. A log is of one gateway, which its line "started" names, or has the gateway's
// name before each JSON object. Lines that are not JSON are skipped; a line that is longer
// than maxLineBytes is an error.
func ReadDuties(logs ...io.Reader) (Duties, error) {
	d := Duties{Unreported: map[int64][]string{}}
	for i, log := range logs {
		gateway := fmt.Sprintf("log %d", i+1)
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			prefix, object, found := strings.Cut(scanner.Text(), "{")
			var l dutyLine
			if !found || json.Unmarshal([]byte("{"+object), &l) != nil {
				continue
			}
			if words := strings.Fields(prefix); len(words) > 0 {
				gateway = words[len(words)-1]
			} else if l.Message == "started" && l.Gateway != "" {
				gateway = l.Gateway
			}
			d.add(gateway, l)
		}
		if err := scanner.Err(); err != nil {
			return d, errors.Wrap(err, "read the log: expected files with one JSON object per line")
		}
	}
	slices.SortStableFunc(d.Calls, func(a, b DutyCall) int { return a.Time.Compare(b.Time) })
	d.Findings = d.findings()
	return d, nil
}

// add adds what a line of a gateway's log says about the duties, if anything.
func (d *Duties) add(gateway string, l dutyLine) {
	call := DutyCall{
		Time: l.Time, Gateway: gateway, Subject: usageSubject, Window: l.Window, Counts: l.Counts, Fencing: l.Fencing, Era: l.Era, Lease: l.Lease, Error: l.Error,
	}
	switch {
	case strings.HasSuffix(l.Message, "usage report sent"):
		d.Calls = append(d.Calls, call)
	case strings.HasSuffix(l.Message, "scaling target sent"):
		call.Subject = l.Service + "/" + l.DataCentre
		d.Calls = append(d.Calls, call)
	case strings.Contains(l.Message, "usage window is not reported"):
		d.Unreported[l.Window] = lo.Uniq(append(d.Unreported[l.Window], gateway))
	}
}

// OfWindow returns the reports of a window, and the other calls with the tokens of these
// reports.
func (d Duties) OfWindow(window int64) Duties {
	isReport := func(c DutyCall) bool { return c.Subject == usageSubject && c.Window == window }
	tokens := lo.SliceToMap(lo.Filter(d.Calls, func(c DutyCall, _ int) bool { return isReport(c) }), func(c DutyCall) (uint64, bool) { return c.Fencing, true })
	selected := Duties{
		Calls:      lo.Filter(d.Calls, func(c DutyCall, _ int) bool { return isReport(c) || c.Subject == usageSubject && tokens[c.Fencing] }),
		Unreported: lo.PickByKeys(d.Unreported, []int64{window}),
	}
	selected.Findings = selected.findings()
	return selected
}

// findings returns what is wrong with the calls, in sentences.
func (d Duties) findings() []string {
	findings := []string{}
	type use struct {
		subject string
		fencing uint64
	}
	first, reports := map[use]DutyCall{}, map[int64]DutyCall{}
	for _, c := range d.Calls {
		k := use{c.Subject, c.Fencing}
		if other, ok := first[k]; !ok {
			first[k] = c
		} else if other.Gateway != c.Gateway {
			findings = append(findings, fmt.Sprintf("%s and %s used %s for %s: %s", other.Gateway, c.Gateway, token(c.Fencing), c.Subject, sharedTokenCause(other, c)))
		}
		if c.Lease != nil && c.Lease.Left <= 0 {
			findings = append(findings, fmt.Sprintf("%s called with %s after its lease had ended", c.Gateway, token(c.Fencing)))
		}
		if c.Subject != usageSubject {
			continue
		}
		if other, ok := reports[c.Window]; !ok {
			reports[c.Window] = c
		} else if !maps.Equal(other.Counts, c.Counts) {
			findings = append(findings, fmt.Sprintf("window %d was sent by %s and %s with different counts", c.Window, other.Gateway, c.Gateway))
		}
		if strings.Contains(c.Error, "higher fencing token") {
			findings = append(findings, fmt.Sprintf("%s was refused with %s: a holder with a higher token had called", c.Gateway, token(c.Fencing)))
		}
	}
	for _, window := range slices.Sorted(maps.Keys(d.Unreported)) {
		findings = append(findings, fmt.Sprintf("%s did not report window %d: the store may have lost a report of it, and a second one could have other counts",
			strings.Join(d.Unreported[window], ", "), window))
	}
	return lo.Uniq(findings)
}

// sharedTokenCause returns why two gateways probably used one token.
func sharedTokenCause(a, b DutyCall) string {
	switch {
	case a.Era != b.Era:
		return fmt.Sprintf("the store returned from an older copy between the calls, from era %d to %d", a.Era, b.Era)
	case a.Lease == nil || b.Lease == nil:
		return "the log does not say where the tokens come from"
	case a.Lease.ReplacedVersion == b.Lease.ReplacedVersion:
		return fmt.Sprintf("both acquired the lease on version %d, so that the store accepted two updates of it", a.Lease.ReplacedVersion)
	}
	return "one of them acted with a lease that was not its own"
}

// token returns a fencing token as text, with the era and the number of its holder in it.
func token(fencing uint64) string {
	era, n := fencing>>tokenEraBits, fencing&(1<<tokenEraBits-1)
	if era == 0 {
		return fmt.Sprintf("token %d", fencing)
	}
	return fmt.Sprintf("token %d (era %d, number %d)", fencing, era, n)
}

// WriteText writes a line for each call with its token, where the token comes from and the
// outcome, and then the findings.
func (d Duties) WriteText(w io.Writer) error {
	for _, c := range d.Calls {
		text := fmt.Sprintf("  %s  %-18s %s %s store_era=%d", c.Time.Format("15:04:05.000"), c.Gateway, c.Subject, token(c.Fencing), c.Era)
		if c.Subject == usageSubject {
			text += fmt.Sprintf(" window=%d counts=%v", c.Window, c.Counts)
		}
		if l := c.Lease; l != nil {
			text += fmt.Sprintf(" lease_version=%d age=%s left=%s", l.Version, time.Duration(l.Age), time.Duration(l.Left))
			if l.ReplacedHolder == "" {
				text += " after no holder"
			} else {
				text += fmt.Sprintf(" after %s with %s at version %d", l.ReplacedHolder, token(l.ReplacedFencing), l.ReplacedVersion)
			}
		}
		if c.Error != "" {
			text += " error: " + c.Error
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	findings := d.Findings
	switch {
	case len(d.Calls) == 0 && len(findings) == 0:
		findings = []string{"no gateway logged such a call: no requests began in the window, no gateway held the lease, or its log lines were dropped (chestnutlead_log_dropped_lines_count)"}
	case len(findings) == 0:
		findings = []string{"nothing wrong: each token is of one gateway, and each window has one report"}
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, "finding: "+f); err != nil {
			return err
		}
	}
	return nil
}
