// This file defines the record of the tokens that a stream has sent.

package clentry

// tokenLog keeps the texts of tokens one after the other, with the end of
// each. An open stream keeps all its tokens, and a string for each would take
// a header of 16 bytes and an allocation of at least 8.
type tokenLog struct {
	text []byte
	ends []uint32
}

func (l *tokenLog) add(token string) {
	l.text = append(l.text, token...)
	l.ends = append(l.ends, uint32(len(l.text)))
}

func (l *tokenLog) len() int { return len(l.ends) }

// list returns the tokens in the order in which they were added.
func (l *tokenLog) list() []string {
	all := string(l.text)
	tokens := make([]string, len(l.ends))
	start := uint32(0)
	for i, end := range l.ends {
		tokens[i] = all[start:end]
		start = end
	}
	return tokens
}
