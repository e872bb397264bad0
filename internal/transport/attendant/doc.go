// Package attendant is the companion of a model engine whose requests come
// straight from the entries: it alone gives the engine orders, and admits each
// request once the adapter that it needs is ready.
//
// An entry asks for admission, sends the request to the engine itself, and
// releases the admission at its end. While a request is admitted, its adapter
// keeps its slot. The loss of the attendant cuts no stream; an entry that can't
// reach it may still send what the engine holds, since the engine itself refuses
// an adapter or version that it does not have.
//
// The slot table of package loader decides what is loaded and evicted.
package attendant
