// Package clgateway implements the HTTP gateway that serves callers. It matches
// a request to a route and a client account, enforces the account's quota, and
// forwards the request to an endpoint. It tries further endpoints if it can't connect
// to one, if an endpoint does not run the request, or if the route allows a retry
// after the request may have run. Route.MaxAttempts limits how often a request is
// sent, but at least two sends are allowed if the endpoints do not run it.
// Attempts that fail to connect are limited separately.
package clgateway
