// Package blamer implements the list of suspects in one process's replica of the state. A
// suspect is a request during which backend servers ended.
package blamer
