// Package throttler limits the calls that one of many entries has in progress at a
// backend server of a plain service.
//
// When most servers of a service have left, the remaining ones receive more calls than
// they can serve. Their queues fill up, and each accepted call waits for the whole
// queue. With one of three servers left, 200 calls per second were served, which is the
// server's capacity, but each in the time of 30 and later than required, and three of
// five attempts were rejected. No entry sees more than a few of a server's answers, and
// none sees the calls of the others. What all of them see is the load that the server
// reports: each entry raises its limit while that load is near the server's places, and
// lowers it when the load is well above or a call is rejected. The limit may fall below
// one call, since there may be more entries than places.
package throttler
