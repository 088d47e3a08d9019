// Package clexplain reconstructs from gateway logs what happened to a request.
package clexplain
