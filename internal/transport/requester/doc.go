// Package requester is the client of the operators' resource API, and of the part
// of it by which they change the control group.
//
// A change whose answer was lost is sent again under the same idempotency key,
// so that it takes effect once whatever became of the first answer.
package requester
