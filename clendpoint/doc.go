// Package clendpoint defines what chestnutlead needs of an endpoint and the
// HTTP client that provides it.
package clendpoint
