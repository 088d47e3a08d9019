// Package clexplain reconstructs from the logs of gateways what happened to a
// request, and derives the probable cause of its outcome.
//
// It reads the JSON lines that gateways log. A line is about a request if its field
// "request" is the request's ID. It also collects the calls of the holders of the duties'
// lease to the cloud API, and finds tokens of two gateways and windows with two reports.
package clexplain
