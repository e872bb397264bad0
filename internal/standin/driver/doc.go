// Package driver is a load generator: it sends calls to a deployment through its caller
// API and checks every answer.
//
// A Workload describes workspaces with weights, adapters with skewed popularity, the mix
// of calls, a shift of popularity, and a rush of one workspace. A Schedule generates the
// calls from a seed, independently of the answers, so that two runs with one seed send the
// same calls at the same times: arrivals are open-loop, and latencies are measured from the
// intended send time, which avoids coordinated omission.
//
// Judge checks one answer against its call, Checker compares the answers with the records
// of engines and services, and Tally aggregates the measurements. These are functions and
// structs without goroutines; Driver connects them to HTTP and the clock, and Report is the
// result of a run. A figure that was not observed is nil (null in JSON), never 0.
//
// Times inside a run are durations since its start. The driver shares no code with the
// entries and companions that it checks; it uses only the published protocols and the
// records of the stand-ins.
package driver
