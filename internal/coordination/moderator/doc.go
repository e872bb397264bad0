// Package moderator limits the connections that a host accepts while its link is saturated.
//
// A balancer may hand one host more callers than its link carries. If the host accepts all of
// them, they share the link, every request takes longer than its caller waits, and the link
// carries requests that are no longer needed. A caller whose connection is refused sends
// nothing and goes to another host.
//
// Saturation shows in the time to open connections to peers, which contains the queues of the
// link in both directions. A single peer may be slow or gone, so the shortest of several round
// trips counts. While they are long, hardly any connection is accepted. Once the queue is empty
// again, the connections accepted since it began to grow, over the time that this took, are what
// the link carries. The limit is a little below, and probes for more.
//
// The package opens no sockets and starts no goroutines; the time is passed in.
package moderator
