// This file defines the decoding of completion events.

package clentry

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

type (
	// chunk is the part of a completion event that the entry reads.
	chunk struct {
		Choices []struct {
			Text  *string `json:"text"`
			Delta *struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}

	// chunkReader reads the text of an event in the form in which engines
	// usually write it, without decoding the rest. It checks the whole event.
	chunkReader struct {
		// text is that of the first choice; ok says that there is one.
		text string
		ok   bool
	}
)

// errUnusual says that an event is left to the complete decoder: it is no
// valid JSON, or names a field twice or in another case, or a field has
// another type than usual.
var errUnusual = errors.New("the event does not have the usual form")

// tokenOf returns the text that an event adds to the answer.
func tokenOf(data []byte) (string, bool) {
	var r chunkReader
	if r.read(data) == nil {
		return r.text, r.ok
	}
	return decodeToken(data)
}

// decodeToken decodes any event.
func decodeToken(data []byte) (string, bool) {
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return "", false
	}
	switch ch := c.Choices[0]; {
	case ch.Text != nil:
		return *ch.Text, true
	case ch.Delta != nil:
		return ch.Delta.Content, true
	}
	return "", false
}

// read reads an event; if it returns an error, the event is unusual.
func (r *chunkReader) read(data []byte) error {
	if !utf8.Valid(data) {
		return errUnusual // The complete decoder replaces what is not UTF-8.
	}
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(data)
	seen := false
	err := eachField(d, func(key []byte) error {
		switch isChoices, err := matchOnce(key, "choices", &seen); {
		case err != nil:
			return err
		case isChoices:
			return r.choices(d)
		}
		return d.Skip()
	})
	if err != nil {
		return err
	}
	if err := d.Skip(); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		return errUnusual // Something follows the event.
	}
	return nil
}

// choices reads an array with one choice.
func (r *chunkReader) choices(d *jx.Decoder) error {
	it, err := d.ArrIter()
	if err != nil {
		return errUnusual
	}
	n := 0
	for it.Next() {
		if n++; n > 1 {
			return errUnusual
		}
		if err := r.choice(d); err != nil {
			return err
		}
	}
	return it.Err()
}

func (r *chunkReader) choice(d *jx.Decoder) error {
	var seenText, seenDelta bool
	return eachField(d, func(key []byte) error {
		isText, err1 := matchOnce(key, "text", &seenText)
		isDelta, err2 := matchOnce(key, "delta", &seenDelta)
		switch {
		case err1 != nil || err2 != nil || seenText && seenDelta:
			return errUnusual
		case isText:
			r.ok = true
			return r.string(d)
		case isDelta:
			r.ok = true
			return r.delta(d)
		}
		return d.Skip()
	})
}

func (r *chunkReader) delta(d *jx.Decoder) error {
	seen := false
	return eachField(d, func(key []byte) error {
		switch isContent, err := matchOnce(key, "content", &seen); {
		case err != nil:
			return err
		case isContent:
			return r.string(d)
		}
		return d.Skip()
	})
}

func (r *chunkReader) string(d *jx.Decoder) error {
	if d.Next() != jx.String {
		return errUnusual
	}
	var err error
	r.text, err = d.Str()
	return err
}

// eachField calls f for each field of an object.
func eachField(d *jx.Decoder, f func(key []byte) error) error {
	if d.Next() != jx.Object {
		return errUnusual
	}
	it, err := d.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if err := f(it.Key()); err != nil {
			return err
		}
	}
	return it.Err()
}

// matchOnce reports whether the key is the name; a name that comes again or in
// another case is unusual, as the complete decoder takes it for the same field.
func matchOnce(key []byte, name string, seen *bool) (bool, error) {
	if string(key) == name && !*seen {
		*seen = true
		return true, nil
	}
	if bytes.EqualFold(key, []byte(name)) {
		return false, errUnusual
	}
	return false, nil
}
