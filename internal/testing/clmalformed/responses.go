// This file lists responses that are not well-formed.

package clmalformed

import (
	"strconv"
	"strings"
)

// Response is what a server may send in place of a response, or instead of its end.
type Response struct {
	Name, Text string
}

// Responses returns responses that no client may take for one: each has the given
// field lines and looks like a success with the given body in some way.
func Responses(fields, body string) []Response {
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	chunks := hexadecimal(len(body)) + "\r\n" + body + "\r\n0\r\n\r\n"
	const ok, coded = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	var forms []Response
	add := func(name, text string) { forms = append(forms, Response{name, text}) }
	for name, line := range map[string]string{
		"status 000": "HTTP/1.1 000 OK", "status 099": "HTTP/1.1 099 OK", "status 600": "HTTP/1.1 600 OK", "status 999": "HTTP/1.1 999 OK",
		"status of two digits": "HTTP/1.1 20 OK", "status of four digits": "HTTP/1.1 2000 OK", "status with a sign": "HTTP/1.1 +20 OK",
		"status with a minus": "HTTP/1.1 -20 OK", "status behind two blanks": "HTTP/1.1  200 OK", "status behind a tab": "HTTP/1.1\t200 OK",
		"status with letters": "HTTP/1.1 2x0 OK", "no status": "HTTP/1.1 ", "status without a blank": "HTTP/1.1 200OK",
		"another protocol": "HTTQ/1.1 200 OK", "another version": "HTTP/2.0 200 OK", "version of two digits": "HTTP/1.10 200 OK",
		"blank before the version": " HTTP/1.1 200 OK", "control byte in the reason": "HTTP/1.1 200 O\x01K", "NUL in the reason": "HTTP/1.1 200 O\x00K",
	} {
		add(name, line+"\r\n"+fields+length+"\r\n"+body)
	}
	for name, line := range map[string]string{
		"blank in a name": "A B: c", "tab in a name": "A\tB: c", "control byte in a name": "A\x01B: c", "NUL in a name": "A\x00B: c", "DEL in a name": "A\x7fB: c",
		"byte above 127 in a name": "A\xe9: c", "empty name": ": c", "no colon": "A", "blank before the colon": "A : c", "tab before the colon": "A\t: c",
		"folded line": "A: b\r\n c", "folded line with a tab": "A: b\r\n\tc", "control byte in a value": "A: b\x01c", "NUL in a value": "A: b\x00c",
		"CR in a value": "A: b\rc", "parenthesis in a name": "A(b): c", "blank before the first name": " A: c",
	} {
		add(name, ok+line+"\r\n"+fields+length+"\r\n"+body)
		add(name+", last", ok+fields+length+line+"\r\n\r\n"+body)
		add(name+", without a length", ok+fields+line+"\r\n\r\n"+body)
		add(name+", in a trailer", ok+fields+coded+"\r\n"+strings.TrimSuffix(chunks, "\r\n")+line+"\r\n\r\n")
		add(name+", in an informational response", "HTTP/1.1 103 Hints\r\n"+line+"\r\n\r\n"+ok+fields+length+"\r\n"+body)
	}
	for name, lines := range map[string]string{
		"two lengths": length + "Content-Length: " + strconv.Itoa(len(body)-1) + "\r\n", "two lengths, the other way": "Content-Length: " + strconv.Itoa(len(body)-1) + "\r\n" + length,
		"list of lengths": "Content-Length: " + strconv.Itoa(len(body)) + ", " + strconv.Itoa(len(body)-1) + "\r\n", "length with a sign": "Content-Length: +" + strconv.Itoa(len(body)) + "\r\n",
		"length with a minus": "Content-Length: -" + strconv.Itoa(len(body)) + "\r\n", "length in hexadecimal": "Content-Length: 0x" + hexadecimal(len(body)) + "\r\n",
		"length with a blank": "Content-Length: 1 " + strconv.Itoa(len(body)) + "\r\n", "no digits in the length": "Content-Length: \r\n",
		"length beyond 64 bits": "Content-Length: 99999999999999999999\r\n", "length with a fraction": "Content-Length: " + strconv.Itoa(len(body)) + ".0\r\n",
	} {
		add(name, ok+fields+lines+"\r\n"+body)
	}
	for name, text := range map[string]string{
		"length and chunks": ok + fields + length + coded + "\r\n" + chunks, "chunks and length": ok + fields + coded + length + "\r\n" + chunks,
		"two codings": ok + fields + coded + coded + "\r\n" + chunks, "another coding": ok + fields + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
		"coding in a list": ok + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks, "unknown coding and length": ok + fields + "Transfer-Encoding: x\r\n" + length + "\r\n" + body,
		"chunk size with a sign": ok + fields + coded + "\r\n+" + chunks, "chunk size with 0x": ok + fields + coded + "\r\n0x" + chunks,
		"chunk size behind a blank": ok + fields + coded + "\r\n " + chunks, "no chunk size": ok + fields + coded + "\r\n\r\n" + chunks,
		"chunk beyond its size":   ok + fields + coded + "\r\n" + hexadecimal(len(body)-1) + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size of 17 digits": ok + fields + coded + "\r\n00000000000000000" + chunks, "lines that end with LF": "HTTP/1.1 200 OK\n" + strings.ReplaceAll(fields, "\r\n", "\n") + "Content-Length: " + strconv.Itoa(len(body)) + "\n\n" + body,
		"chunks that end with LF": ok + fields + coded + "\r\n" + strings.ReplaceAll(chunks, "\r\n", "\n"), "empty line before": "\r\n" + ok + fields + length + "\r\n" + body,
		"informational response with a length": "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc" + ok + fields + length + "\r\n" + body,
		"no response":                          "hello\r\n\r\n", "chunks of an old version": "HTTP/1.0 200 OK\r\n" + fields + coded + "\r\n" + chunks,
		"end within the head": ok + fields + "Content-Le", "end within the body": ok + fields + "Content-Length: " + strconv.Itoa(len(body)+1) + "\r\n\r\n" + body,
		"end within the chunks": ok + fields + coded + "\r\n" + strings.TrimSuffix(chunks, "\r\n"), "end before the last chunk": ok + fields + coded + "\r\n" + strings.TrimSuffix(chunks, "0\r\n\r\n"),
	} {
		add(name, text)
	}
	return forms
}

func hexadecimal(n int) string { return strconv.FormatInt(int64(n), 16) }
