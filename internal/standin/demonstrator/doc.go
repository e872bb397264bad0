// Package demonstrator runs a complete small deployment on loopback within one
// operating system process: entries with the control role, companions, and
// stand-ins for the backend servers and the weight store. The nodes run the same
// code as in separate processes and communicate over TCP.
package demonstrator
