// Package clharness runs a small fleet of real processes on loopback: the
// stand-ins, endpoints in several data centres, and entry and control pairs.
// The demo and the tests that bring about failures use it; no product code does.
package clharness
