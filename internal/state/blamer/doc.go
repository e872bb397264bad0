// Package blamer holds the requests under which backend servers ended, as one process has
// been told of them.
package blamer
