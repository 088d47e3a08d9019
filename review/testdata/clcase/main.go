// Command clcase runs the cases of the review that need real processes.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"late-watch":      lateWatch,
	"endless-reports": endlessReports,
	"late-end":        lateEnd,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names, and writes the record to the second one.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: clcase CASE RECORD")
		return exitInvalid
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if w != nil {
		defer w.close()
	}
	broken := false
	if err == nil {
		broken, err = cases[os.Args[1]](w)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "the case could not run"))
		return exitInvalid
	case broken:
		w.note("verdict: the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	return exitHeld
}
