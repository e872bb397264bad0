// Package retrier decides whether, when and at what cost a failed attempt is
// made again.
//
// An attempt is made again only if the last one certainly didn't run, or if the
// call is idempotent and nothing of an answer has reached the caller. Retries
// are paid from a budget for each pool of backend servers: a share of the
// successes of the last seconds. When backend servers fail together, successes
// stop, and with them the retries: the load that a failing pool sees grows by
// the share and no more.
//
// A call that is given up gets its answer at once; no wait is ever taken that
// doesn't lead to another attempt before the deadline.
package retrier
