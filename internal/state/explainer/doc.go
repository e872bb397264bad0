// Package explainer analyzes the logs of all processes of a deployment. It reports the
// outcomes of calls and their causes, such as a wait for an adapter load, for a slot or for
// the prefill, a retry or a refusal; the adapter loads; the traffic between failure domains;
// and the timeline of one request.
//
// Its only input are the log lines of the processes: JSON objects, each with the name of its
// process. A platform may prefix a line with the time and the name.
package explainer
