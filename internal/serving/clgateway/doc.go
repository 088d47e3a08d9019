// Package clgateway serves callers: it finds a request's route and account,
// admits it within the account's quota, and forwards it to endpoints as often
// as its route allows.
package clgateway
