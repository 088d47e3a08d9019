// Package clplatform defines what chestnutlead needs of the platform and the
// HTTP adapters that provide it.
package clplatform
