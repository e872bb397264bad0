// Package allotter limits the bytes that a process buffers for callers and backend servers. It
// counts them in all modes.
package allotter
