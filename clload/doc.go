// Package clload is an open-loop load generator for entries, with latency
// histograms, checks of each answer, reports and their comparison.
//
// Arrivals are scheduled before the run and latency counts from the scheduled
// time, so a slow system cannot slow the load down and hide its own latency.
package clload
