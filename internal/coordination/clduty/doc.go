// Package clduty runs the tasks that one gateway at a time performs for all of
// them: it reports the usage of each window and scales the endpoints of each
// service. The gateway holds a lease for this, whose fencing token the cloud API
// checks.
//
// Endpoints are of two kinds. Spot endpoints are cheaper, but the cloud may reclaim
// them at short notice; on-demand endpoints stay until they are released. The load
// of a service is the number of its endpoints that requests keep busy.
package clduty
