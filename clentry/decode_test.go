package clentry

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventReader guards against events that are merged, dropped or taken as
// whole when the stream is cut off.
func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 3*eventBufferBytes)
	tests := []struct {
		name string
		in   string
		want []string
		err  error
	}{
		{"two events", "id: 1\ndata: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{"a"}, io.EOF},
		{"two data lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"no space", "data:a\n\n", []string{"a"}, io.EOF},
		{"comments and empty events", ": ping\n\nevent: x\n\ndata: a\n\n", []string{"a"}, io.EOF},
		{"empty data", "data:\n\n", []string{""}, io.EOF},
		{"cut off in a line", "data: a\n\ndata: b", []string{"a"}, io.EOF},
		{"cut off before the end", "data: a\n\ndata: b\n", []string{"a"}, io.EOF},
		{"longer than the buffer", "data: " + long + "\n\n", []string{long}, io.EOF},
		{"too long", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, errEventTooLong},
		{"too many lines", strings.Repeat("data: xxxxxxxx\n", maxEventBytes/8), nil, errEventTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(tt.in))
			var got []string
			for {
				ev, err := r.next()
				if err != nil {
					require.ErrorIs(t, err, tt.err)
					break
				}
				got = append(got, string(ev.data))
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// FuzzEventReader guards against panics, endless loops and unbounded events on
// any input from an endpoint.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{"data: a\n\n", "data\n\n", ":\r\n\r\n", "event: error\ndata: {}\n\n", "\n\n\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := newEventReader(bytes.NewReader(in))
		size := 0
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			require.NotNil(t, ev.data)
			size += len(ev.data)
			_, _ = tokenOf(ev.data)
		}
		require.LessOrEqual(t, size, len(in))
	})
}

// FuzzStreamPosition guards against positions that are read otherwise than
// they were written, or below zero.
func FuzzStreamPosition(f *testing.F) {
	for _, s := range []string{"e1~s-1:7", "e~:0", ":", "~:-1", "a~b~c:1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, ok := parseStreamPosition(s)
		if !ok {
			return
		}
		require.GreaterOrEqual(t, p.position, 0)
		again, ok := parseStreamPosition(p.String())
		require.True(t, ok)
		require.Equal(t, p, again)
	})
}

// TestTokenOf guards against events that count as tokens without text, which
// would shift stream positions.
func TestTokenOf(t *testing.T) {
	tests := []struct {
		name, data, token string
		ok                bool
	}{
		{"completion", `{"choices":[{"text":" a"}]}`, " a", true},
		{"chat", `{"choices":[{"delta":{"content":" b"}}]}`, " b", true},
		{"usage", `{"choices":[],"usage":{}}`, "", false},
		{"no JSON", `[DONE]`, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			token, ok := tokenOf([]byte(tt.data))
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.token, token)
		})
	}
}

// unusualEvents have a form that only the complete decoder reads, or that none reads.
var unusualEvents = []string{
	`{"choices":[{"text":" a","text":" b"}]}`, `{"choices":[{"text":" a"}],"choices":[]}`, `{"Choices":[{"TEXT":" a"}]}`,
	`{"choices":[{"text":null,"delta":{"content":" b"}}]}`, `{"choices":[{"text":" a","delta":{"content":" b"}}]}`,
	`{"choices":[{"text":" a"},{"text":5}]}`, `{"choices":[{"text":5}]}`, `{"choices":[{"delta":null}]}`, `{"choices":null}`,
	`{"choices":[null]}`, `{"choices":{}}`, `{"choices":[{"te\u0078t":" a"}]}`, `{"choices":[{"text":"\ud83d"}]}`,
	`{"choices":[{"text":" a"}]} `, `{"choices":[{"text":" a"}]}x`, `{"choices":[{"text":" a"}]`, `{"choices":[{"text":" a"}],}`,
	`{"choiceſ":[{"text":" a"}]}`, `{"choices":[{"text":"\ud83d\u0041"}]}`, `{"choices":[{"text":"\x"}]}`, "{\"choices\":[{\"text\":\"\n\"}]}",
	"{\"choices\":[{\"text\":\" \xff\"}]}", `{"choices":[{"delta":{}}]}`, `{"choices":[{"delta":{"content":null}}]}`,
	`{"choices":[{}],"usage":{"n":01}}`, `{"choices":[{"text":"a"}],"x":1.}`, `{"choices":[{"text":"a"}],"x":tru}`, `null`, `5`, ``, `{`,
}

// TestTokenOfUnusual guards against events that the quick reader reads
// otherwise than the complete decoder, which would shift stream positions.
func TestTokenOfUnusual(t *testing.T) {
	for _, data := range unusualEvents {
		want, wantOK := decodeToken([]byte(data))
		token, ok := tokenOf([]byte(data))
		require.Equal(t, wantOK, ok, data)
		require.Equal(t, want, token, data)
	}
}

// usualEvent is an event as engines write it.
const usualEvent = `{"id":"s-17","object":"chat.completion.chunk","model":"brew-llm","choices":[{"index":0,"delta":{"role":"assistant","content":" roster"},"finish_reason":null}]}`

// TestChunkReader guards against usual events that go to the complete decoder, which costs several times the CPU.
func TestChunkReader(t *testing.T) {
	for _, data := range []string{usualEvent, `{"choices":[{"text":" a"}]}`, `{"choices":[],"usage":{}}`,
		`{"choices":[{"text":" კიბე\n\"\u10d0\ud83d\ude00"}]}`} {
		var r chunkReader
		require.NoError(t, r.read([]byte(data)), data)
		want, wantOK := decodeToken([]byte(data))
		require.Equal(t, wantOK, r.ok, data)
		require.Equal(t, want, r.text, data)
	}
}

// FuzzTokenOf guards against events that the quick reader reads otherwise than
// the complete decoder.
func FuzzTokenOf(f *testing.F) {
	for _, s := range append([]string{usualEvent}, unusualEvents...) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		want, wantOK := decodeToken(data)
		token, ok := tokenOf(data)
		require.Equal(t, wantOK, ok)
		require.Equal(t, want, token)
	})
}

// BenchmarkTokenOf measures the decoding of one event, by the quick reader and
// by the complete decoder.
func BenchmarkTokenOf(b *testing.B) {
	for _, c := range []struct {
		name string
		f    func([]byte) (string, bool)
	}{{"quick", tokenOf}, {"complete", decodeToken}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, ok := c.f([]byte(usualEvent))
				if !ok {
					b.Fatal("the event has no text")
				}
			}
		})
	}
}

// TestTokenLog guards against tokens that are merged, cut or dropped when a
// stream goes on at another endpoint.
func TestTokenLog(t *testing.T) {
	var l tokenLog
	require.Empty(t, l.list())
	want := []string{" a", "", "ბ", " c", ""}
	for i, token := range want {
		require.Equal(t, i, l.len())
		l.add(token)
	}
	require.Equal(t, want, l.list())
}

// BenchmarkEventReader measures the reading of one event.
func BenchmarkEventReader(b *testing.B) {
	stream := strings.Repeat("data: "+usualEvent+"\n\n", 1000)
	b.ReportAllocs()
	var r *eventReader
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			r = newEventReader(strings.NewReader(stream))
		}
		if _, err := r.next(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRouteName guards against paths with identifiers that become routes of
// their own, for which no version would ever gather enough evidence.
func TestRouteName(t *testing.T) {
	tests := []struct{ method, path, want string }{
		{"POST", "/bookings", "POST /bookings"},
		{"GET", "/bookings/123/items", "GET /bookings"},
		{"GET", "/", "GET /"},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, routeName(tt.method, tt.path))
	}
}
