// Package spacer decides when an engine may start to prefill a prompt.
//
// Engines prefill prompts in chunks between the tokens of the running streams. An event of a
// stream holds several tokens, so while prompts are prefilled one after the other, each event
// takes several chunks. A Spacer limits the time for which prompts are prefilled without
// interruption, and leaves the time for one event of each stream after it.
//
// It contains decisions only: time is passed in. No type is safe for concurrent use.
package spacer
