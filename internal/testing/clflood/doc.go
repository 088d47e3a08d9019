// Package clflood tests a real gateway process against clients that try to exhaust its
// memory or its file descriptors. It holds no product code. Its tests measure the
// process, so they must run one at a time and apart from other load.
package clflood
