// This file collects the log lines of a request and derives the probable cause of its outcome.

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
	// Line is a log line about a request.
	Line struct {
		// Time is the time of the line, or the zero time if it has no valid one.
		Time time.Time `json:"time"`
		// Message starts with the name of the component that logged it, if the
		// component has one.
		Message string `json:"message"`
		// Fields are the remaining fields of the line. The level, the request ID and
		// the verbose form of the error are left out.
		Fields map[string]any `json:"fields"`
	}

	// History is what the logs contain about a request.
	History struct {
		RequestID string `json:"request"`
		// Lines are the lines about the request, in the order of their times.
		Lines []Line `json:"lines"`
		// Cause is the probable cause of the request's outcome.
		Cause string `json:"cause"`
	}
)

// maxLineBytes is the maximum length of a log line; a longer line is an error.
const maxLineBytes = 1 << 20

// refusalCauses explains, by reason, why a gateway refused a request. The keys are
// the reasons that gateways log.
var refusalCauses = map[string]string{
	"no_time_left":              "the prompts queued at every endpoint would have delayed it past its deadline; order more endpoints, or wait for the burst to end",
	"over_quota":                "the account had used up its quota; raise the quota, or ask the account to send fewer requests",
	"over_share":                "the service was short of capacity, and the account asked for more than its share; compare share, offered and the line 'shortage of a service has begun', and order more endpoints or wait",
	"configuration_unconfirmed": "the gateway had not recently reached the store, so the key may have been revoked; see its log lines 'store lost' and 'reader lost'",
	"copies_outdated":           "what the gateway knew of the configuration and the endpoints was too old to act on, although the store was not lost; see copy_age in its log lines 'reader lost'",
	"stopping":                  "the gateway was about to stop before the request could have ended; another gateway serves the retry",
	"no_configuration":          "the gateway had just started and had not read the configuration; see its log line 'configuration in force'",
	"unknown_key":               "no account in the active configuration had the key; compare config_version",
	"no_route":                  "no route in the active configuration matched; compare config_version",
	"endpoint_failed":           "an endpoint received the request, but its response was lost or unusable, so the request may have been executed; see the failed attempt",
	"timeout":                   "the route's timeout or the caller's deadline expired; see where the attempts waited",
	"not_run":                   "every endpoint that was tried refused to execute it",
	"retry_budget":              "an attempt failed, and the retry budget was exhausted; look for failing endpoints at that time",
	"ends_endpoints":            "requests with this path, account and body crashed the endpoints that executed them",
	"part_ends_endpoints":       "endpoints crashed under requests whose prompts have a part in common with it; see 'requests with a trait are refused' and prompt_parts in the lines about crashes",
	"cold":                      "all endpoints were cold, and the request rate that they tolerate was used up",
	"blocked":                   "all endpoints had recently been unreachable or full",
	"leaving":                   "all endpoints were draining",
	"quiet":                     "all endpoints had asked the gateway to send nothing for some time; see 'endpoint asks for quiet' (asked_for)",
	"returning":                 "endpoints that had asked for quiet were being taken back gradually",
	"data_centre_out":           "all endpoints were in data centres that operators had evacuated",
	"no_endpoint":               "no endpoint was registered for the service",
	"tried":                     "all endpoints had been tried",
	"full":                      "all endpoints had reached their connection limit",
	"version":                   "only endpoints that run a version on trial were left",
	"body_too_large":            "the body exceeded the configured limit",
	"body_incomplete":           "the caller did not send the whole body in time",
	"body_too_slow":             "the caller sent a large body at less than 4 KiB/s, or stalled within it for 5 s",
	"memory_short":              "the memory for callers was full, and this body was the slowest; see docs/OPERATIONS.md, the door is under attack",
}

// ReadHistory collects the lines about a request from several logs, sorts them by
// time and derives the probable cause. A line may have a prefix without braces
// before its JSON object. Lines that are not JSON are skipped; a line that is longer
// than maxLineBytes is an error.
func ReadHistory(requestID string, logs ...io.Reader) (History, error) {
	h := History{RequestID: requestID}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Text(), requestID); ok {
				h.Lines = append(h.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return h, errors.Wrap(err, "read the log: expected files with one JSON object per line")
		}
	}
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	h.Cause = probableCause(h.Lines)
	return h, nil
}

// parseLine parses a line of a log. It returns false if the line is not about the
// request with the given ID.
func parseLine(text, requestID string) (Line, bool) {
	jsonStart := strings.IndexByte(text, '{')
	if jsonStart < 0 || !strings.Contains(text, requestID) {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[jsonStart:]), &fields); err != nil || fields["request"] != requestID {
		// The line is about another request, or was written by another program.
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["message"].(string)
	if timestamp, ok := fields["time"].(string); ok {
		if t, err := time.Parse(time.RFC3339Nano, timestamp); err == nil {
			line.Time = t
		}
	}
	for _, name := range []string{"message", "time", "level", "request", "errorVerbose"} {
		delete(fields, name)
	}
	return line, true
}

// probableCause derives the probable cause of the request's outcome from the last
// of the lines, which are sorted by time.
func probableCause(lines []Line) string {
	if len(lines) == 0 {
		return "no gateway logged the request: it reached none of these gateways, or its log lines were dropped (chestnutlead_log_dropped_lines_count)"
	}
	last := lines[len(lines)-1]
	switch {
	case strings.HasSuffix(last.Message, "answered"):
		text := fmt.Sprintf("answered with status %v by endpoint %v", last.Fields["status"], last.Fields["endpoint"])
		if last.Fields["states_not_run"] == false {
			text += ", which has not stated that it did not run the request"
		}
		return text
	case strings.HasSuffix(last.Message, "stream cut"):
		if last.Fields["caller_gone"] == true {
			return "the caller disconnected during the stream"
		}
		return fmt.Sprintf("the stream was interrupted after event %v and could not be resumed: %v", last.Fields["last_event"], last.Fields["last"])
	case strings.HasSuffix(last.Message, "refused"):
		reason, _ := last.Fields["reason"].(string)
		if text, ok := refusalCauses[reason]; ok {
			return reason + ": " + text
		}
		return reason
	case last.Fields["caller_gone"] == true:
		return "the caller disconnected before the response"
	}
	return "the request is still in progress, or the gateway stopped: look for its next log line 'started'"
}

// WriteText writes the history as text: the request ID, a line for each log line
// with its time of day, message and fields, and the probable cause. Without log
// lines it writes only the cause.
func (h History) WriteText(w io.Writer) error {
	if len(h.Lines) > 0 {
		if _, err := fmt.Fprintf(w, "request %s\n", h.RequestID); err != nil {
			return err
		}
	}
	for _, l := range h.Lines {
		names := slices.Sorted(maps.Keys(l.Fields))
		fields := lo.Map(names, func(n string, _ int) string { return fmt.Sprintf("%s=%v", n, l.Fields[n]) })
		if _, err := fmt.Fprintf(w, "  %s  %-28s %s\n", l.Time.Format("15:04:05.000"), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "probable cause: %s\n", h.Cause)
	return err
}
