package cacher

import (
	"maps"
	"math"
	"time"
)

const (
	// MaxAge is the age above which an estimate counts as lost. Companions publish several
	// times in it, also if nothing has changed.
	MaxAge = 4 * time.Second
	// maxPlaced bounds the parts remembered from calls placed since the last update.
	maxPlaced = 256
	// placedLife is how long a part of a placed call counts as cached without a report that
	// confirms it, from its expected admission.
	placedLife = 500 * time.Millisecond
	// rateWeight is the weight of the latest interval in the smoothed prefill rate.
	rateWeight = 0.3
	// promptSize is the mean size, in tokens, of the prompts that others place unseen,
	// weighted by their tokens: 6,300 shared and 2,890 own tokens.
	promptSize = 9_190
	// marginError is the standard error of a margin, in tokens, without any unseen prompt.
	marginError = tolerance
	// highProbability is the least probability at which a part can be fetched.
	highProbability = 0.9
)

// Estimate is what an entry knows about the cache of one engine. The zero value means that
// nothing is known.
type Estimate struct {
	// published means that the companion has published the cache since the engine's start.
	published  bool
	receivedAt time.Time
	room       int64
	added      int64
	positions  map[uint32]int64
	// rate is the smoothed number of tokens that the engine prefills per second; negative
	// means unknown.
	rate float64
	// placed holds the parts of calls placed since they were published, and placedTokens the
	// number of tokens to be prefilled for calls placed since the last update.
	placed       map[uint32]placement
	placedTokens int64
}

// placement is a part of a placed call. Position is as in Position.Added.
type placement struct {
	position int64
	until    time.Time
}

// Published reports whether the engine's companion publishes its cache.
func (e *Estimate) Published() bool { return e.published }

// Age returns the age of the last update; negative if there is none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if e.receivedAt.IsZero() {
		return -1
	}
	return now.Sub(e.receivedAt)
}

// Apply applies an update. The caller has checked that none is missing before it.
func (e *Estimate) Apply(now time.Time, u Update) {
	if u.Whole || e.receivedAt.IsZero() {
		e.Clear()
		e.rate, e.positions = -1, make(map[uint32]int64, len(u.Parts))
	} else if passed := now.Sub(e.receivedAt); passed > 0 {
		rate := float64(max(0, u.Added-e.added)) / passed.Seconds()
		if e.rate >= 0 {
			rate = e.rate + rateWeight*(rate-e.rate)
		}
		e.rate = rate
	}
	e.published, e.receivedAt, e.room, e.added, e.placedTokens = true, now, u.Room, u.Added, 0
	for _, p := range u.Parts {
		delete(e.placed, p.Hash)
		e.positions[p.Hash] = p.Added
	}
	maps.DeleteFunc(e.positions, func(_ uint32, position int64) bool { return e.margin(position) <= 0 })
	maps.DeleteFunc(e.placed, func(_ uint32, p placement) bool { return now.After(p.until) })
}

// Clear drops what is known, after a lost update or a restart. Whether the companion
// publishes its cache is kept.
func (e *Estimate) Clear() { *e = Estimate{published: e.published} }

// margin returns the margin of a part at the last update.
func (e *Estimate) margin(position int64) int64 { return e.room - (e.added - position) }

// Prompt is the prompt of a call: its parts in order, and its total length in tokens.
type Prompt struct {
	Parts  []uint32
	Tokens []int
	Total  int
}

// Place counts a call placed at the engine, which prefills the given number of tokens after
// wait.
func (e *Estimate) Place(now time.Time, p Prompt, prefilled int, wait time.Duration) {
	if !e.published {
		return
	}
	e.placedTokens += int64(prefilled)
	if e.placed == nil {
		e.placed = make(map[uint32]placement)
	}
	// The last part is the call's own.
	for _, hash := range p.Parts[:max(0, len(p.Parts)-1)] {
		if len(e.placed) < maxPlaced {
			e.placed[hash] = placement{position: e.added + e.placedTokens, until: now.Add(wait + placedLife)}
		}
	}
}

// Withdraw undoes Place for a call that was not run.
func (e *Estimate) Withdraw(parts []uint32, prefilled int) {
	e.placedTokens = max(0, e.placedTokens-int64(prefilled))
	for _, hash := range parts {
		delete(e.placed, hash)
	}
}

// Demand is what is prefilled at an engine before a call, apart from calls that the entry has
// placed since the last update.
type Demand struct {
	// Wait is the expected time until the call's admission.
	Wait time.Duration
	// Waiting is the number of tokens of requests that wait for their adapter or model.
	Waiting int
	// FullRate is the engine's prefill rate in tokens per second.
	FullRate float64
	// ReportedOnly excludes the parts of calls that the entry has placed since the last
	// update, which may not be prefilled yet.
	ReportedOnly bool
	// PlacedOnly excludes the reported parts, which an engine drops with their adapter.
	PlacedOnly bool
}

// Expected is the cached part of a prompt that is expected at admission.
type Expected struct {
	// Tokens is the expected number of cached tokens.
	Tokens float64
	// Known is the number of tokens of the leading parts that may be cached, and Probability
	// the mean probability that they are, weighted by their tokens.
	Known       int
	Probability float64
	// Sure is the number of tokens of the leading parts that are cached with high
	// probability.
	Sure int
}

// Expect returns what is expected to be cached of a prompt at its admission. A part only
// counts together with all parts before it.
func (e *Estimate) Expect(now time.Time, p Prompt, d Demand) Expected {
	var x Expected
	age := e.Age(now)
	if age < 0 || age > MaxAge {
		return x
	}
	probability := 1.0
	for i, hash := range p.Parts {
		position, ok := e.position(now, hash, d)
		if !ok {
			break
		}
		probability = min(probability, e.probability(e.margin(position), age, d))
		if probability <= 0 {
			break
		}
		x.Known += p.Tokens[i]
		x.Tokens += probability * float64(p.Tokens[i])
		if probability >= highProbability {
			x.Sure += p.Tokens[i]
		}
	}
	if x.Known > 0 {
		x.Probability = x.Tokens / float64(x.Known)
	}
	return x
}

// position returns the position of a part that may be cached.
func (e *Estimate) position(now time.Time, hash uint32, d Demand) (int64, bool) {
	if p, ok := e.placed[hash]; ok && !d.ReportedOnly && !now.After(p.until) {
		return p.position, true
	}
	position, ok := e.positions[hash]
	return position, ok && !d.PlacedOnly
}

// probability returns the probability that a part with the given margin is still cached.
func (e *Estimate) probability(margin int64, age time.Duration, d Demand) float64 {
	rate := e.rate
	if rate < 0 {
		// Half of the full rate is assumed until two updates have shown the rate.
		rate = d.FullRate / 2
	}
	unseen := max(rate*d.Wait.Seconds(), float64(d.Waiting)) + rate*age.Seconds()
	return Probability(float64(margin-e.placedTokens), unseen)
}

// Probability returns the probability that fewer than margin tokens are prefilled, where
// unseen tokens are expected. It never falls with the margin and never rises with unseen. The
// number is taken as normally distributed, with the variance of prompts that arrive
// independently.
func Probability(margin, unseen float64) float64 {
	if margin <= 0 {
		return 0
	}
	deviation := math.Sqrt(unseen*promptSize + marginError*marginError)
	return 0.5 * math.Erfc(-(margin-unseen)/deviation/math.Sqrt2)
}
