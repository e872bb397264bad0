// Package streamer keeps answers whole on their way from a companion to an
// entry, over connections that may break at any byte.
//
// A companion's Buffer keeps each Answer by request, attempt and byte offset
// until the entry has acknowledged it, and its ending for a retention after
// that. An entry's Assembler puts pieces that come late, twice or out of order
// back into one run of bytes, and tells where one is missing.
//
// # Memory
//
// The bytes of one answer and of all answers are bounded. A writer waits while
// its answer is full, and so holds up the engine's stream. One piece of an answer
// always fits, so that answers can't block each other for ever. Answers kept
// after their acknowledgement, for another entry that asks, yield to all others.
package streamer
