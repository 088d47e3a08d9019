// Package clcatalog defines the data that gateways read from the platform's store:
// the configuration, the registered endpoints and gateways, and the rollouts and
// evacuations that operators have requested.
//
// Gateways send these types to each other encoded by encoding/gob, under the names
// of the exported fields.
package clcatalog
