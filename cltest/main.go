// This file defines the run of property tests.

package cltest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main runs a package's tests with the given flags of rapid, as far as the
// command line does not set them, so that their verdict is the same in each
// run. It prints the seed and does not return.
func Main(m *testing.M, flags map[string]string) {
	flag.Parse()
	for name, value := range flags {
		if f := flag.Lookup("rapid." + name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
