// This file defines the errors of a settings file.

package clsettings

import (
	"fmt"
	"strings"
)

type (
	// Problem is one fault of a settings file, with the remedy.
	Problem struct {
		File    string
		Section string
		Key     string
		Reason  string
		Remedy  string
	}

	// Error holds all problems that were found in one settings file.
	Error struct {
		Problems []Problem
	}
)

var _ error = (*Error)(nil)

// String returns the problem in one line.
func (p Problem) String() string {
	place := p.File
	if p.Section != "" {
		place += ": [" + p.Section + "]"
	}
	if p.Key != "" {
		place += " " + p.Key
	}
	return fmt.Sprintf("%s: %s; %s", place, p.Reason, p.Remedy)
}

// Error returns all problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
