// Package starter makes a running process out of its settings: it listens,
// builds the roles that the settings name, and stops them in good order.
//
// A planned stop turns the process unready, waits for the balancer, finishes
// the requests in progress of the entry, then of the companion, and last lets
// control hand over its leadership. Close is the opposite: it ends all at once,
// as a crash would.
package starter
