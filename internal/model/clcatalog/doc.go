// Package clcatalog defines what a gateway knows of a deployment: the
// configuration in force, the registered endpoints, and the operators' intents.
package clcatalog
