// Package requester implements the client of the operators' resource API, including the
// part that changes the control group.
//
// A change whose answer was lost is sent again under the same idempotency key, so that
// it takes effect once, whatever became of the first request.
package requester
