// Package translator turns a caller's HTTP into typed calls, and outcomes into
// what a caller reads.
//
// The shapes are OpenAI's published ones, so that its client libraries work
// unchanged: field names are theirs, errors have their form with an outcome
// added. Fields of a request that this package doesn't know are passed on to
// the engine as they came. The headers of this project begin with
// Marigoldpoint-.
//
// Parsing is strict where a mistake could have another version answer, or a call
// run that its caller didn't mean: the model's name, the numbers that bound the
// answer, and the deadline. All of it runs before a call is admitted, so that
// every error of this package means NotRun.
package translator
