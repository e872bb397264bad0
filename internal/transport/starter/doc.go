// Package starter runs a process according to its settings: it opens the listeners,
// starts the configured roles, and shuts them down gracefully.
//
// A planned stop makes the process unready, waits for the load balancer, completes the
// requests in progress of the entry and then of the companion, and finally lets control
// transfer its leadership. Close, in contrast, stops everything at once, as a crash
// would.
package starter
