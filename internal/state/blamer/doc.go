// Package blamer implements the lists of suspects in one process's replica of the state. A
// suspect is a request, or a part of prompts, during which backend servers ended.
package blamer
