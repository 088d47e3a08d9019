// This file defines the reader of server-sent events.

package clentry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

const (
	// eventBufferBytes holds a few usual events; an open stream keeps the buffer.
	eventBufferBytes = 1 << 10
	// maxEventBytes bounds the memory that one endpoint's event can take.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLong = errors.New("an event of the endpoint's stream is over 1 MiB")

	doneData = []byte("[DONE]")
)

type (
	// event is one server-sent event; only the fields that the entry reads are kept.
	event struct {
		name []byte
		data []byte
	}

	eventReader struct {
		r *bufio.Reader
		// data is the buffer of the last event's data.
		data []byte
	}
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next event that has data, which is valid until the next
// call. It returns io.EOF only at the end
// of the body; an event that the end cuts off is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	size := 0
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if size > maxEventBytes {
			return event{}, errEventTooLong
		}
		if len(line) == 0 {
			if ev.data != nil {
				if e.data = ev.data; cap(e.data) > maxKeptBytes {
					e.data = nil
				}
				return ev, nil
			}
			ev = event{}
			continue
		}
		ev.add(line, e.data)
	}
}

// add takes a line; the event's data goes into the buffer.
func (ev *event) add(line, buffer []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if ev.data != nil {
			ev.data = append(ev.data, '\n')
		} else if ev.data = buffer[:0]; ev.data == nil {
			ev.data = []byte{}
		}
		ev.data = append(ev.data, value...)
	case "event":
		ev.name = append([]byte(nil), value...)
	}
}

// line returns one line without its end; it is valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *eventReader) longLine(start []byte) ([]byte, error) {
	long := append([]byte(nil), start...)
	for {
		part, err := e.r.ReadSlice('\n')
		long = append(long, part...)
		if len(long) > maxEventBytes {
			return nil, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
}
