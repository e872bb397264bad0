// Package soaker runs a small deployment as separate processes on loopback addresses and disturbs
// them by signals in overlapping series, while a load and an operator's changes go on. It checks
// the promises of the deployment by what callers, backend servers and operators see, and by how
// the processes end. With link faults, a proxy before each process also disturbs the connections that
// other processes open to it.
//
// The processes are those that operators start, with settings files of their own. The backend
// servers are stand-ins within the soak's own process, so that their records tell what ran.
package soaker
