// Package pacer limits how many adapters one engine loads from the weight store at a
// time, based on how long the loads take.
//
// A weight store serves a certain number of loads at full speed; with more, each takes
// proportionally longer. No engine sees the loads of the others, but each sees its own
// loads slow down. After a loss of power every engine requests everything its callers
// wait for: 89 concurrent loads on a store that serves 24 took 1,050 ms each instead of
// 290, and no caller was served in time for as long as the backlog lasted. Fewer
// concurrent loads do not reduce the throughput of the store, and the adapters they
// deliver arrive in time.
package pacer
