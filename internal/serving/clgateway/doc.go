// Package clgateway implements the HTTP gateway that serves callers. It matches
// a request to a route and a client account, enforces the account's quota, and
// forwards the request to endpoints, with as many attempts as the route allows.
package clgateway
