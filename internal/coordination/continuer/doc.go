// Package continuer records which software version began a stream, so that only backend
// servers of the same version continue it.
//
// Backend servers of several software versions may serve side by side, and their outputs must
// not be mixed in one stream. A caller whose stream broke resumes it with a new attempt, which
// names the attempt that returned the first event and may reach any entry. The entry of an
// attempt therefore stores the attempt's origin, which holds the service and the software
// version, at several companions, the attempt's replicas. They are selected by rendezvous
// hashing (Thaler and Ravishankar, 1998) of the attempt's id, so that every entry can compute
// them.
//
// A stream whose origin is unknown must not be continued.
package continuer
