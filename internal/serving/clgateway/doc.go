// Package clgateway implements the HTTP gateway that serves callers. It matches
// a request to a route and a client account, enforces the account's quota, and
// forwards the request to an endpoint, or to several in turn if the route allows
// more than one attempt.
package clgateway
