// This file defines the grammar of the head of a response and of its lines.

package clframing

import (
	"bytes"
	"math"

	"github.com/go-faster/errors"
)

// framing is how the body of a response ends.
type framing struct {
	status int
	// length is the number of bytes of the body, or chunked or untilClose.
	length int64
}

const (
	chunked    = -1
	untilClose = -2
	// maxLengthDigits is the number of digits of a length or size that always fits an
	// int64.
	maxLengthDigits = 18
	maxSizeDigits   = 15
)

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	// nameBytes are the bytes of field names (tokens), and valueBytes those of field values
	// and reason phrases.
	nameBytes, valueBytes [256]bool

	errMalformed = errors.New("response is malformed")
)

func init() {
	for c := range 256 {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		nameBytes[c] = letter || c >= '0' && c <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
		valueBytes[c] = c == '\t' || c >= ' ' && c != 0x7f
	}
}

// parseHead checks a head, which ends with an empty line, and returns the framing of the
// body that follows. noBody says that the request's method has no response body.
func parseHead(head []byte, noBody bool) (framing, error) {
	line, rest, _ := bytes.Cut(head, crlf)
	status, oldVersion, err := parseStatusLine(line)
	if err != nil {
		return framing{}, err
	}
	f := framing{status: status, length: untilClose}
	lengths, codings := 0, 0
	for len(rest) > len(crlf) {
		line, rest, _ = bytes.Cut(rest, crlf)
		name, value, err := parseFieldLine(line)
		switch {
		case err != nil:
			return framing{}, err
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
			if f.length, err = parseLength(value); err != nil {
				return framing{}, err
			}
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return framing{}, errors.Wrapf(errMalformed, "transfer coding %q", value)
			}
		}
	}
	bodyless := status < 200 || status == 204
	switch {
	case lengths > 1, codings > 1, lengths+codings > 1:
		return framing{}, errors.Wrap(errMalformed, "more than one length or transfer coding")
	case codings > 0 && (oldVersion || bodyless), bodyless && f.length > 0:
		return framing{}, errors.Wrapf(errMalformed, "status %d or its version with a body", status)
	case bodyless, status == 304, noBody:
		f.length = 0
	case codings > 0:
		f.length = chunked
	}
	return f, nil
}

// parseStatusLine returns the status, and whether the version is 1.0.
func parseStatusLine(line []byte) (status int, oldVersion bool, err error) {
	const form = "HTTP/1.1 200 "
	if len(line) < len(form) || string(line[:7]) != "HTTP/1." || line[7] != '0' && line[7] != '1' || line[8] != ' ' || line[12] != ' ' {
		return 0, false, errors.Wrapf(errMalformed, "status line %q", line[:min(len(line), 32)])
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return 0, false, errors.Wrapf(errMalformed, "status %q", line[9:12])
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 || status > 599 {
		return 0, false, errors.Wrapf(errMalformed, "status %03d", status)
	}
	if !allOf(line[13:], &valueBytes) {
		return 0, false, errors.Wrap(errMalformed, "control byte in the reason phrase")
	}
	return status, line[7] == '0', nil
}

// parseFieldLine returns the name and the value of a field line without its end.
func parseFieldLine(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || !allOf(name, &nameBytes) {
		return nil, nil, errors.Wrapf(errMalformed, "field name %q", name[:min(len(name), 32)])
	}
	if !allOf(value, &valueBytes) {
		return nil, nil, errors.Wrapf(errMalformed, "control byte in the value of %q", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

func parseLength(value []byte) (int64, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, errors.Wrapf(errMalformed, "length %q", value[:min(len(value), 32)])
	}
	n := int64(0)
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, errors.Wrapf(errMalformed, "length %q", value)
		}
		n = 10*n + int64(c-'0')
	}
	return n, nil
}

// parseChunkLine returns the size of a chunk, from its line without the end.
func parseChunkLine(line []byte) (int64, error) {
	size, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		size = bytes.TrimRight(size, " \t")
	}
	if len(size) == 0 || len(size) > maxSizeDigits || !allOf(extension, &valueBytes) {
		return 0, errors.Wrapf(errMalformed, "chunk size %q", line[:min(len(line), 32)])
	}
	n := int64(0)
	for _, c := range size {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int64(c-'0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			n = n<<4 | int64(c|0x20-'a'+10)
		default:
			return 0, errors.Wrapf(errMalformed, "chunk size %q", line[:min(len(line), 32)])
		}
	}
	if n > math.MaxInt64/2 {
		return 0, errors.Wrapf(errMalformed, "chunk size %q", line)
	}
	return n, nil
}

func allOf(b []byte, set *[256]bool) bool {
	for _, c := range b {
		if !set[c] {
			return false
		}
	}
	return true
}
