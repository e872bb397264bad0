// Package retrier decides whether and when a failed attempt is retried.
//
// An attempt is retried only if it certainly did not run, or if the call is idempotent and no part
// of an answer has reached the caller. Retries are charged to a budget for each pool of backend
// servers, which is a share of the successes of the last seconds. If all backend servers of a pool
// fail, successes stop and retries stop with them: the load on a failing pool grows by no more than
// that share.
//
// A call that is not retried is answered at once. A wait is imposed only if another attempt follows
// it before the deadline.
package retrier
