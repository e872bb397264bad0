// Package demonstrator runs a whole small deployment on loopback within one
// process: entries with control, companions, and the stand-ins that they serve.
// The processes run the same code as separate ones and talk over TCP; only
// their listeners share an operating system process.
package demonstrator
