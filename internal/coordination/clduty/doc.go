// Package clduty does what one gateway at a time does for all: it reports the
// usage of each window and orders endpoints, under a lease whose fencing number
// the cloud checks.
package clduty
