// Package inspector collects the events of several processes through their operators'
// listeners, and writes them as one timeline.
package inspector
