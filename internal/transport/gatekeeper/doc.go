// Package gatekeeper implements the entry that serves callers.
//
// A request passes these steps, each of which may end it: the bearer key (serve.go),
// the body (body.go), the name of the adapter (resolve.go), the limits (package
// limiter), the claim of a call that may run only once (claim.go), and the attempts
// (request.go). An attempt consists of a choice by package router, a dispatch to the
// companion there, and the pieces of the answer, which are put in order (attempt.go)
// and forwarded to the caller (answer.go). Package retrier decides whether a failed
// attempt is retried.
//
// # Outcomes
//
// NotRun is reported only if every attempt certainly did not run: it never left the
// entry, or the companion refused it before it reached the backend server, or the
// incarnation of the companion to which it was sent reports that it never saw the
// attempt, and bars it from then on. A broken connection proves nothing: the entry asks
// for the request by its id on a new connection and does not send it again. Every
// uncertain outcome is Unknown.
//
// # Ownership
//
// Each request is driven by its caller's goroutine, which owns the request, the
// attempts and the answer. Pieces arrive on the goroutines of the connections and are
// passed through an inbox. Close waits for the background tasks, such as claims that
// are still being settled.
package gatekeeper
