// Package inspector collects the events of several processes through their operators'
// listeners, and writes them as one timeline. It also asks an entry where a request would go,
// and writes the answer.
package inspector
