// Package clduty runs the tasks that one gateway at a time performs for all of
// them: it reports the usage of each window and scales the endpoints of each
// service. The gateway holds a lease for this, whose fencing token the cloud API
// checks.
package clduty
