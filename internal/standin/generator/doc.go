// Package generator is a small stand-in for a model engine with dynamic LoRA
// adapters.
//
// It speaks the engine protocol of docs/design/030-engine-protocol.md and behaves
// like an engine where coordination depends on it: a continuous batch advances by
// steps of one token for each running sequence, adapters occupy few slots and take
// long to load, prompt prefixes are cached in limited memory, reports lag, cache
// events come late and with gaps. It computes nothing: the text of an answer is a
// function of the adapter's name and the prompt, which Expected repeats, so that a
// checker can tell a whole answer by the right adapter from any other.
//
// The engine obeys its orders even where they harm, as a real one does: an adapter
// in use is unloaded and its requests fail. Nothing is evicted unless ordered. The
// Record keeps what it ran and which orders it got, also over restarts, as the
// proof of what a coordinator promised.
//
// Faults are switched on by the settings, by Inject, or by POST /v1/faults.
//
// Time is that of package time, so that tests run an engine under testing/synctest
// with a listener that needs no network. Decisions of the batch, the slots and the
// cache are plain structs without goroutines; Engine wires them to time and HTTP.
package generator
