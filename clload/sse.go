// This file defines the reader of server-sent events.

package clload

import (
	"bufio"
	"io"
	"strings"
)

type (
	// Event is one server-sent event.
	Event struct {
		ID   string
		Type string
		Data string
	}

	eventReader struct {
		r  *bufio.Reader
		id string
	}
)

// maxEventLine bounds the memory that one event can take.
const maxEventLine = 1 << 20

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// read returns the next event that has data. An event that the end of the
// body cuts off is not returned, as the format demands.
func (e *eventReader) read() (Event, error) {
	ev := Event{}
	var data []string
	for {
		line, err := e.line()
		if err != nil {
			return Event{}, err
		}
		if line == "" {
			if data == nil {
				ev.Type = ""
				continue
			}
			ev.ID, ev.Data = e.id, strings.Join(data, "\n")
			return ev, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			ev.Type = value
		case "data":
			data = append(data, value)
		}
	}
}

func (e *eventReader) line() (string, error) {
	var b strings.Builder
	for {
		part, err := e.r.ReadSlice('\n')
		b.Write(part)
		if err == nil {
			return strings.TrimRight(b.String(), "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return "", err
		}
		if b.Len() > maxEventLine {
			return "", bufio.ErrTooLong
		}
	}
}
