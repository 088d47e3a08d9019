// Command settingsdoc writes the settings page to standard output.
package main

import (
	"fmt"
	"os"

	"github.com/chestnutlead/chestnutlead/clsettings"
)

func main() {
	if err := clsettings.WritePage(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "settingsdoc:", err)
		os.Exit(1)
	}
}
