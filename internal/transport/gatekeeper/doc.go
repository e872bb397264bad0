// Package gatekeeper serves callers: it is the entry's end of every request.
//
// A request goes through these steps, each of which may end it: the bearer key
// (authenticate.go), the body (body.go), the name of the adapter (resolve.go),
// the limits (package limiter), the claim of a call that may run only once
// (claim.go), and then attempts (request.go): a choice by package router, a
// dispatch to the companion there, and the answer's pieces put in order
// (attempt.go) and given to the caller (answer.go). Package retrier decides
// whether a failed attempt is made again.
//
// # Outcomes
//
// NotRun is said only where every attempt certainly didn't run: it never left
// the entry, or the companion refused it before its backend server was asked,
// or the same life of the companion that it was sent to says that it never saw
// it and bars it from then on. A broken connection is no answer: the entry asks
// for the request by its id on a new connection and doesn't send it again. What
// stays in doubt is Unknown.
//
// # Ownership
//
// Each request is driven by its caller's goroutine, which owns the request,
// the attempts and the answer. Pieces arrive on the connections' goroutines and
// are handed over in an inbox. Close waits for all of them and for the claims
// that are still being settled.
package gatekeeper
