// Package modeler simulates loads on the decision-making components of a deployment in one
// process and on virtual time: the real placer, slot table, pacer, urgency and throttler in
// front of simulated engines, weight store and application servers.
//
// Simulating a pattern of half a minute takes some seconds. Run over many seeds, it shows
// the direction of the effect of a policy change. It is not sufficient for a decision, since
// the models of engines, hosts and callers are simplified.
package modeler
