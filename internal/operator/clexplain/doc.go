// Package clexplain finds in the logs of gateways what happened to a request.
package clexplain
