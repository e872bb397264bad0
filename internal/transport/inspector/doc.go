// Package inspector gathers the events of several processes over their
// operators' listeners and writes them as one time line.
package inspector
