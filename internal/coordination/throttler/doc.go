// Package throttler bounds the calls that one of many entries has in progress at a
// backend server of a plain service.
//
// A server that has become one of few is asked for more than it can do. Its queue fills,
// and each call that it takes waits for the whole of it: with one of three left, 200 calls
// a second were served, as many as it can, but each in the time of 30, later than was
// wanted, and three sends of five were turned away. No entry sees more than a few of a
// server's answers, and none sees the others' calls. What all of them see is the server's
// own word on its load: each entry widens its bound while that is near the server's
// places, and narrows it when it is well above or a call is turned away. The bound may
// fall below one call, since the entries may outnumber the places.
package throttler
