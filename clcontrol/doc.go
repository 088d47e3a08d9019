// Package clcontrol is the control process: it answers operators' intents with
// plans, and the holder of the control lease carries out confirmed plans.
package clcontrol
