// This file tests which responses are passed on.

package clframing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const testBody = "hello, world"

// wellFormed are responses that must be passed on.
var wellFormed = []struct{ name, text string }{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
	{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{"no reason", "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n"},
	{"old version", "HTTP/1.0 200 OK\r\n\r\nhello"},
	{"until the end", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nhello"},
	{"no field lines", "HTTP/1.1 599 \xe9t\xe9\r\n\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n00A;a=b; c=\"d\"\r\n0123456789\r\n0\r\n\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1 ;a\r\nx\r\n0\r\nA: b\r\nC:\r\n\r\n"},
	{"informational", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"no content", "HTTP/1.1 204 No Content\r\n\r\n"},
	{"no content, with a length", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
	{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
	{"blanks around a value", "HTTP/1.1 200 OK\r\nContent-Length: \t5 \t\r\nEmpty:\r\nTab: a\tb\r\n\r\nhello"},
}

// readAll reads the response to one request, in pieces of at most n bytes.
func readAll(text string, n int) (string, error) {
	r := Reader{R: strings.NewReader(text)}
	r.Expect(false)
	var b bytes.Buffer
	_, err := io.CopyBuffer(struct{ io.Writer }{&b}, struct{ io.Reader }{&r}, make([]byte, n))
	return b.String(), err
}

// Guards against well-formed responses that are refused or changed, however they are read.
func TestWellFormedResponses(t *testing.T) {
	for _, c := range wellFormed {
		for _, n := range []int{1, 7, 4096} {
			got, err := readAll(c.text, n)
			require.NoError(t, err, c.name)
			require.Equal(t, c.text, got, c.name)
		}
		r := Reader{R: iotest.OneByteReader(strings.NewReader(c.text))}
		r.Expect(false)
		got, err := io.ReadAll(&r)
		require.NoError(t, err, c.name)
		require.Equal(t, c.text, string(got), c.name)
	}
}

// Guards against malformed responses that a parser behind the reader takes for whole ones.
func TestMalformedResponses(t *testing.T) {
	for _, form := range clmalformed.Responses("X-Id: 1\r\n", testBody) {
		_, err := readAll(form.Text, 4096)
		require.Error(t, err, form.Name)
		r := Reader{R: iotest.OneByteReader(strings.NewReader(form.Text))}
		r.Expect(false)
		_, err = io.ReadAll(&r)
		require.Error(t, err, form.Name)
	}
}

// Guards against heads, lines of chunks and trailers that fill the memory.
func TestEndlessHeads(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, begin := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", chunkedHead + "5;", chunkedHead + "0\r\nA: "} {
		r := Reader{R: io.MultiReader(strings.NewReader(begin), endless{})}
		r.Expect(false)
		_, err := io.ReadAll(&r)
		require.ErrorIs(t, err, errMalformed, begin)
		require.LessOrEqual(t, cap(r.buf), 4*MaxHeadBytes, begin)
	}
	r := Reader{R: io.MultiReader(strings.NewReader(chunkedHead+"0\r\n"), strings.NewReader(strings.Repeat("A: b\r\n", MaxHeadBytes)))}
	r.Expect(false)
	_, err := io.ReadAll(&r)
	require.ErrorIs(t, err, errMalformed)
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against bytes behind a response that are taken for the response to the next
// request, and against a body after the response to HEAD.
func TestOneResponseForEachRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	r := Reader{R: strings.NewReader(response + response + response)}
	for range 2 {
		r.Expect(false)
		b := make([]byte, len(response))
		_, err := io.ReadFull(&r, b)
		require.NoError(t, err)
		require.Equal(t, response, string(b))
	}
	require.Equal(t, len(response), r.Buffered())
	_, err := r.Read(make([]byte, 10))
	require.ErrorIs(t, err, errUnasked)

	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	r = Reader{R: strings.NewReader(head + response)}
	r.Expect(true)
	b := make([]byte, len(head))
	_, err = io.ReadFull(&r, b)
	require.NoError(t, err)
	r.Expect(false)
	got, err := io.ReadAll(&r)
	require.NoError(t, err)
	require.Equal(t, response, string(got))
}

var (
	strictHead    = regexp.MustCompile(`^HTTP/1\.([01]) ([1-5][0-9][0-9]) [\t -~]*\r\n((?:[!#$%&'*+.^_|~0-9A-Za-z\x60-]+:[\t -~]*\r\n)*)\r\n`)
	strictField   = regexp.MustCompile(`(?i)([^:\r\n]+):[ \t]*([^\r\n]*?)[ \t]*\r\n`)
	strictChunk   = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t -~]*)?\r\n`)
	strictTrailer = regexp.MustCompile(`^(?:[!#$%&'*+.^_|~0-9A-Za-z\x60-]+:[\t -~]*\r\n)*\r\n`)
)

// strictLength returns the length of the response that b begins with by RFC 9112, or -1 if
// there is none.
func strictLength(s string) int {
	at := 0
	for {
		head := strictHead.FindStringSubmatch(s[at:])
		if head == nil || len(head[0]) > MaxHeadBytes {
			return -1
		}
		at += len(head[0])
		status, _ := strconv.Atoi(head[2]) // three digits
		var lengths, codings []string
		for _, f := range strictField.FindAllStringSubmatch(head[3], -1) {
			switch strings.ToLower(f[1]) {
			case "content-length":
				lengths = append(lengths, f[2])
			case "transfer-encoding":
				codings = append(codings, strings.ToLower(f[2]))
			}
		}
		bodyless := status < 200 || status == 204
		if len(lengths)+len(codings) > 1 || len(codings) == 1 && (codings[0] != "chunked" || head[1] == "0" || bodyless) {
			return -1
		}
		n := 0
		if len(lengths) == 1 {
			if !regexp.MustCompile(`^[0-9]{1,18}$`).MatchString(lengths[0]) {
				return -1
			}
			n, _ = strconv.Atoi(lengths[0]) // 18 digits at most
			if bodyless && n > 0 {
				return -1
			}
		}
		switch {
		case status < 200:
			continue
		case bodyless, status == 304:
			return at
		case len(codings) == 1:
			return strictChunks(s, at)
		case len(lengths) == 0:
			return len(s)
		case n > len(s)-at:
			return -1
		}
		return at + n
	}
}

// strictChunks returns the end of the chunked body that begins at a place, or -1.
func strictChunks(s string, at int) int {
	for {
		line := strictChunk.FindStringSubmatch(s[at:])
		if line == nil {
			return -1
		}
		at += len(line[0])
		n, err := strconv.ParseInt(line[1], 16, 64)
		if err != nil {
			return -1
		}
		if n == 0 {
			trailer := strictTrailer.FindString(s[at:])
			if trailer == "" {
				return -1
			}
			return at + len(trailer)
		}
		if n > int64(len(s)-at) || !strings.HasPrefix(s[at+int(n):], "\r\n") {
			return -1
		}
		at += int(n) + len(crlf)
	}
}

// toASCII returns b with a byte that only values may hold in place of those above 127, since
// the expressions are of runes.
func toASCII(b []byte) string {
	mapped := bytes.Clone(b)
	for i, c := range mapped {
		if c > 0x7f {
			mapped[i] = '"'
		}
	}
	return string(mapped)
}

// FuzzResponses compares the reader with a strict reading of RFC 9112, and what it passes
// on with what the parsers behind it make of that.
func FuzzResponses(f *testing.F) {
	for _, c := range wellFormed {
		f.Add([]byte(c.text))
	}
	for _, form := range clmalformed.Responses("X-Id: 1\r\n", testBody) {
		f.Add([]byte(form.Text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 || len(b) > MaxHeadBytes {
			t.Skip("the end of a connection and limits are tested apart")
		}
		want := strictLength(toASCII(b))
		r := Reader{R: bytes.NewReader(b)}
		r.Expect(false)
		got, err := io.ReadAll(&r)
		if want < 0 {
			require.Error(t, err)
			return
		}
		require.True(t, err == nil || err == errUnasked && want < len(b), "%v", err)
		require.Equal(t, want, len(got))
		require.Equal(t, string(b[:want]), string(got))
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(got)), nil)
		var hdr fasthttp.ResponseHeader
		fastErr := hdr.Read(bufio.NewReaderSize(bytes.NewReader(got), MaxHeadBytes))
		if err != nil || fastErr != nil {
			return // a stricter parser
		}
		require.Equal(t, resp.StatusCode, hdr.StatusCode())
		if resp.StatusCode >= 200 && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified && hdr.ContentLength() >= 0 {
			require.EqualValues(t, resp.ContentLength, hdr.ContentLength())
		}
	})
}

func BenchmarkReader(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: application/json\r\nContent-Length: 800\r\n\r\n"
	text := response + strings.Repeat("x", 800)
	src := strings.NewReader("")
	r := Reader{R: src}
	p := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		src.Reset(text)
		r.Expect(false)
		for n := 0; n < len(text); {
			m, err := r.Read(p)
			if err != nil {
				b.Fatal(err)
			}
			n += m
		}
	}
}
