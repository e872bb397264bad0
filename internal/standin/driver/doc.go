// Package driver drives a deployment with load over its caller API and checks
// every answer.
//
// A Workload is data: workspaces with weights, adapters with skewed popularity,
// the mix of calls, a shift of popularity, a rush. A Schedule draws its calls in
// advance of their time from a seed, so that two runs with one seed send the same
// calls at the same moments whatever the deployment does: arrivals are open-loop,
// and latencies count from the intended send time, which leaves no room for
// coordinated omission.
//
// Judge compares one answer with its call, Checker compares what callers were told
// with what engines and services recorded, and Tally counts. These are plain
// functions and structs without goroutines; Driver wires them to HTTP and time,
// and Report is what a run leaves. A figure that nobody observed is nil, in JSON
// null, never 0.
//
// Times inside a run are durations since its start. The driver shares no code with
// the entries and companions that it checks: it knows the published protocols and
// the stand-ins' records only.
package driver
