// Package attendant is the companion of a model engine that gets its requests directly from
// the entries. It is the only sender of orders to the engine, and admits each request once
// the adapter that it needs is loaded.
//
// An entry asks for admission, sends the request to the engine itself, and releases the
// admission when the request ends. While a request is admitted, its adapter keeps its slot.
// The loss of the attendant interrupts no stream. An entry that can't reach it may still
// send requests for adapters that the engine holds, since the engine itself refuses an
// adapter or version that it does not have.
//
// The slot table of package loader decides what is loaded and evicted.
package attendant
