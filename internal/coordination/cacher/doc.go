// Package cacher estimates which parts of prompts an engine still has cached when a call is
// admitted there, what that saves, and whether the engine is to fetch them from another one.
//
// A companion keeps a Cache: the order in which the parts were used, and the memory that its
// engine reports. It publishes, for each part that prompts may share, the margin: the number
// of tokens that can be prefilled there before the part is evicted. An entry keeps an
// Estimate per engine, and derives the probability that the part is still cached from the
// margin and from what is placed and waiting there.
//
// Estimates only rank engines: a wrong one costs time, since an engine prefills what it does
// not have. The current time is passed in. The types are not safe for concurrent use.
package cacher
