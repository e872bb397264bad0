// Package weigher is a minimal stand-in for a rate-limited weight store.
//
// Engines fetch adapter weights from it over HTTP by GET /weights/PATH. Answers have no
// body: an answer takes as long as the transfer would and declares the number of bytes
// in the header X-Weight-Bytes. A single transfer runs at full speed; concurrent ones
// share that speed with some loss. Transfers beyond the rate are delayed or refused.
//
// GET /_report returns the Report, which shows whether a coordinator exceeded the
// store's limits. All timing uses package time, so that tests can run the store under
// testing/synctest.
package weigher
