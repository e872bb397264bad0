// Package modeler plays loads on the deciding parts of a deployment in one process and
// on virtual time: the real placer, slot table, pacer, urgency and throttler, before
// modelled engines, weight store and application servers.
//
// A pattern of half a minute takes some seconds. It shows in which direction a change of
// policy works, over many seeds; it decides nothing by itself, since engines, hosts and
// callers are simpler here than they are.
package modeler
