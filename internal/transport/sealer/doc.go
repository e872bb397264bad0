// Package sealer authenticates the system's processes to each other by mutual
// TLS 1.3, and decides which messages each of them may send.
//
// Every process has a certificate that the deployment's authority signed. Its
// URI names say who the process is, one for each role:
//
//	marigoldpoint://entry/atl-a-entry-1
//	marigoldpoint://control/atl-a-entry-1
//
// IP addresses play no part: a process is moved without a new certificate. The
// listener checks the dialler's certificate before the connection is handed on,
// the dialler checks that the listener has the role that it means to reach, and
// Sealer.Allow holds every message against the roles and the name of its sender.
//
// The listener's first byte tells the dialler that its own certificate was
// accepted. In TLS 1.3 a dialler's handshake ends before the listener has seen
// its certificate: without that byte a refused dialler would count as connected,
// and a request that it sent as one that may have run.
//
// The files are read again when they have changed, which each handshake looks
// at. Files that don't fit each other, as in the middle of a rotation, leave
// those read before in use.
package sealer
