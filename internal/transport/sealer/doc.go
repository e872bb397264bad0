// Package sealer authenticates the processes of a deployment to each other by mutual TLS
// 1.3, and decides which messages each of them may send.
//
// Every process has a certificate signed by the deployment's authority. Its URI names
// identify the process, with one name for each role:
//
//	marigoldpoint://entry/atl-a-entry-1
//	marigoldpoint://control/atl-a-entry-1
//
// Certificates do not contain IP addresses, so that a process can be moved without a new
// one. The listener verifies the dialler's certificate before it returns the connection,
// the dialler verifies that the listener has the expected role, and Sealer.Allow checks
// every message against the roles and the name of its sender.
//
// The first byte that the listener sends reports that it has accepted the dialler's
// certificate. In TLS 1.3 the dialler's handshake ends before the listener has seen its
// certificate: without that byte a refused dialler would count as connected, and the
// outcome of a request that it sent would be unknown.
//
// Each handshake checks whether the files have changed, and reloads them if so. Files that
// don't match each other, as in the middle of a rotation, are ignored, and the previous
// ones stay in use.
package sealer
