// Package clcatalog defines the data model of a gateway: the active
// configuration, the registered endpoints and gateways, and the rollouts and
// evacuations that operators have requested.
package clcatalog
