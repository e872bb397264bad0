//go:build race

package main

// raceDetector means that the race detector is part of the process, with memory of its own.
const raceDetector = true
