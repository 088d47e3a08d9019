// This file defines how log lines become a request's history and its probable cause.

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
	// Line is one log line about the request.
	Line struct {
		Time    time.Time      `json:"time"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}

	// History is what the logs say of a request.
	History struct {
		RequestID string `json:"request"`
		Lines     []Line `json:"lines"`
		// Cause is the probable cause of how the request ended.
		Cause string `json:"cause"`
	}
)

// maxLineBytes bounds a log line; longer ones are an error.
const maxLineBytes = 1 << 20

// causes explain the reasons with which the gateway refuses.
var causes = map[string]string{
	"no_time_left":              "the prompts that waited at every endpoint would have made it late; order more endpoints, or wait for the burst to end",
	"over_quota":                "the account had spent its quota; raise it, or ask the account to send less",
	"configuration_unconfirmed": "the gateway had not reached the store lately, so that the key may have been revoked; see its lines 'store lost' and 'reader lost'",
	"no_configuration":          "the gateway had just started and had not read the configuration; see its line 'configuration in force'",
	"unknown_key":               "no account held the key in the configuration in force; compare config_version",
	"no_route":                  "no route matched in the configuration in force; compare config_version",
	"endpoint_failed":           "an endpoint got the request and its answer was lost or unusable, so that it may have run; see the failed attempt",
	"timeout":                   "the route's timeout or the caller's deadline passed; see where the attempts waited",
	"not_run":                   "every endpoint that was asked refused to run it",
	"retry_budget":              "an attempt failed, and the retry budget was spent; look for failing endpoints at that time",
	"ends_endpoints":            "requests with this path, account and body ended the endpoints that ran them",
	"cold":                      "all endpoints were cold and their tolerated rate was used",
	"blocked":                   "all endpoints had just been unreachable or full",
	"leaving":                   "all endpoints were leaving",
	"data_centre_out":           "all endpoints were in data centres that operators took out",
	"no_endpoint":               "no endpoint was registered for the service",
	"tried":                     "all endpoints had been tried",
	"full":                      "the endpoints' connections were used up",
	"version":                   "only endpoints of a version on trial were left",
	"body_too_large":            "the body exceeded the configuration's limit",
	"body_incomplete":           "the caller did not send the whole body in time",
}

// ReadHistory returns the history of a request from log files, in order of time. A
// line may have a prefix before its JSON.
func ReadHistory(request string, logs ...io.Reader) (History, error) {
	h := History{RequestID: request}
	for _, r := range logs {
		sc := bufio.NewScanner(r)
		sc.Buffer(nil, maxLineBytes)
		for sc.Scan() {
			if l, ok := parse(sc.Text(), request); ok {
				h.Lines = append(h.Lines, l)
			}
		}
		if err := sc.Err(); err != nil {
			return h, errors.Wrap(err, "read the log; give files with one JSON object a line")
		}
	}
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	h.Cause = cause(h.Lines)
	return h, nil
}

func parse(text, request string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, request) {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil || fields["request"] != request {
		// Lines of other programs stand between the gateway's.
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message, _ = fields["message"].(string)
	if at, ok := fields["time"].(string); ok {
		if t, err := time.Parse(time.RFC3339Nano, at); err == nil {
			l.Time = t
		}
	}
	for _, name := range []string{"message", "time", "level", "request", "errorVerbose"} {
		delete(fields, name)
	}
	return l, true
}

// cause returns the probable cause of the request's end.
func cause(lines []Line) string {
	if len(lines) == 0 {
		return "no gateway has logged the request: it reached none of these, or its lines were dropped (chestnutlead_log_dropped_lines_count)"
	}
	last := lines[len(lines)-1]
	switch {
	case strings.HasSuffix(last.Message, "answered"):
		return fmt.Sprintf("answered with status %v by endpoint %v", last.Fields["status"], last.Fields["endpoint"])
	case strings.HasSuffix(last.Message, "stream cut"):
		if last.Fields["caller_gone"] == true {
			return "the caller left within the stream"
		}
		return fmt.Sprintf("the stream broke after event %v and could not go on: %v", last.Fields["last_event"], last.Fields["last"])
	case strings.HasSuffix(last.Message, "refused"):
		reason, _ := last.Fields["reason"].(string)
		if text, ok := causes[reason]; ok {
			return reason + ": " + text
		}
		return reason
	case last.Fields["caller_gone"] == true:
		return "the caller left before the answer"
	}
	return "still under way, or the gateway ended: look for its next line 'started'"
}

// WriteText writes the history for people to read.
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
