// Command stand runs the scripted cases of the review; see review/REPORT.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns what broke the rule, or "" if it held.
type scenario func(f *fleet, trouble bool) (broken string, err error)

var scenarios = map[int]scenario{
	1: foreignEntry,
	3: signalTwice,
	5: partCrashesEngines,
}

func main() { os.Exit(run()) }

func run() int {
	number := flag.Int("case", 0, "number of the case")
	dir := flag.String("dir", "", "folder of record.txt")
	engine := flag.String("engine", "", "ID of the engine that this process is to be")
	listen := flag.String("listen", "", "address of the worker")
	flag.Parse()
	if *engine != "" {
		fmt.Fprintln(os.Stderr, runEngine(*engine, *listen))
		return exitNotRun
	}
	play, ok := scenarios[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	r := &record{}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := play(f, os.Getenv("TROUBLE") != "0")
	code, verdict := exitHeld, "rule held"
	switch {
	case err != nil:
		code, verdict = exitNotRun, "the case could not run: "+err.Error()
	case broken != "":
		code, verdict = exitBroken, "rule broken: "+broken
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, g := range f.gateways {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), g.name+".log"), []byte(f.logOf(g)), 0o600)
		}
	}
	f.close()
	r.addf("%s", verdict)
	if err := r.write(filepath.Join(*dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(verdict)
	return code
}
