// Package weigher is a small stand-in for a rate-limited weight store.
//
// Engines fetch adapter weights from it over HTTP by GET /weights/PATH. The bytes
// themselves are left out: an answer takes as long as the transfer would and
// declares their number in the header X-Weight-Bytes. One transfer alone runs at
// full speed; several at once share that speed and lose some of it besides. Starts
// beyond the rate wait their turn or are refused.
//
// GET /_report gives the Report, in which a coordinator that broke the store's
// limits shows. Time is that of package time, so that tests run the store under
// testing/synctest.
package weigher
