// Package separator designates some engines of a service for long prompts, so that the streams of
// calls with short prompts run at engines where no long prefill interrupts them.
//
// A companion measures the Share of time that its engine spends on long prefills, and reports it to
// the entries. Each entry keeps a Set per service: the shares decide how many engines are designated,
// and an order that is the same at all entries decides which ones. A Set is only a preference: the
// placer may choose any engine for any call.
//
// The current time is passed in. The types are not safe for concurrent use.
package separator
