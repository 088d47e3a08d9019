// Package cldemo runs the main job on the shapes of two deployments with real
// processes, brings about failures, and compares what was promised with what
// was seen.
package cldemo
