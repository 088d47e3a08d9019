// This file defines the configurations and the platform's names, which lie in files beside it.

package main

import (
	"embed"
	"encoding/json"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/go-faster/errors"
)

//go:embed *.json
var files embed.FS

// names holds names of the platform: of the variable with the path of the settings, and of
// an entry's field with the time for which the endpoint stays cold.
var names struct {
	Settings string `json:"settings"`
	Cold     string `json:"cold"`
}

// readNames reads the names.
func readNames() error {
	b, err := files.ReadFile("names.json")
	if err != nil {
		return errors.Wrap(err, "read the names")
	}
	return json.Unmarshal(b, &names)
}

// configure writes the configuration of a file.
func (w *world) configure(file string) error {
	b, err := files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	w.store.Put(cladapter.KindConfig, "main", json.RawMessage(b))
	return nil
}
