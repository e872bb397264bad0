// Package generator is a small stand-in for a model engine with dynamic LoRA
// adapters.
//
// It implements the engine protocol of docs/design/030-engine-protocol.md and models
// those properties of an engine that coordination depends on: a continuous batch
// advances in steps of one token per running sequence, adapters occupy a few slots and
// take long to load, prompt prefixes are cached in limited memory, load reports lag,
// and cache events are delayed and have gaps. It runs no model: the text of an answer
// is a function of the adapter's name and the prompt. Expected computes the same text,
// so that a checker can recognize a complete answer by the right adapter.
//
// Like a real engine, it executes harmful orders too: an adapter in use is unloaded and
// its requests fail. Adapters are evicted only by order. The Record lists all runs and
// orders, across restarts, so that tests can verify the guarantees of a coordinator.
//
// Faults are injected by Settings.Faults, Inject or POST /v1/faults.
//
// All timing uses package time, so that tests can run an engine under testing/synctest
// with a listener that needs no network. Batch, slots and cache are plain structs
// without goroutines; Engine connects them with time and HTTP.
package generator
