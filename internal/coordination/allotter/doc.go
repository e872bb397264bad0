// Package allotter limits the bytes that a process buffers for callers and backend servers, and the
// connections that it keeps open for peers that it doesn't control. It counts them in all modes.
//
// Each connection has an Account. Where room is short, the account is evicted that has waited longest for
// its peer to complete a request: first those whose peers are silent, then those that have waited longest.
// Requests that are complete are never evicted.
package allotter
