// Package streamer transfers answers completely from a companion to an entry, over
// connections that may break at any byte.
//
// A companion's Buffer holds each Answer by request, attempt and byte offset until the
// entry has acknowledged it, and its end for a retention time after that. An entry's
// Assembler puts pieces that arrive late, twice or out of order back into order, and
// reports gaps.
//
// # Memory
//
// The bytes of each answer and of all answers are limited. A writer blocks while its
// answer is full, which also blocks the engine's stream. One piece of an answer always
// fits, so that answers can't block each other permanently. Answers that are retained
// after their acknowledgement, for another entry that requests them, give way to
// all others when memory is short.
package streamer
