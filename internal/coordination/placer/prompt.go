package placer

import (
	"math"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// PromptChoice is what a choice expects of the prompt's cached parts.
type PromptChoice struct {
	// Mode is the mode in effect.
	Mode cacher.Mode
	// Cached is the number of prompt tokens that may be cached at the chosen engine, or at
	// the one from which they are fetched, and Probability the probability that they still
	// are at admission.
	Cached      int
	Probability float64
	// SavedTokens is the expected number of tokens that are not prefilled again.
	SavedTokens int
	// FetchFrom is the address of the engine from which the chosen one fetches parts; empty
	// means none.
	FetchFrom string
	// FetchTokens is the number of tokens that it is expected to fetch.
	FetchTokens int
	// Age is the age of the report on the cache; negative if there is none.
	Age time.Duration
	// MaxExcess is the wait in excess of the expected one from which the call is better
	// prefilled elsewhere; 0 means unspecified. See ExcessAfter.
	MaxExcess time.Duration

	// lateExcess replaces MaxExcess after some redirects if it is longer.
	lateExcess time.Duration
	// parts and prefilled are what was counted at the chosen engine.
	parts     []uint32
	prefilled int
	source    string
	// sourceIncarnation is that of the engine source.
	sourceIncarnation string
}

const (
	// maxRedirects is the number of companions that may send a call elsewhere because its
	// wait would be much longer than expected.
	maxRedirects = 1
	// maxWeighedRedirects is that of a call whose prompt is weighed. With 2, some
	// calls of a burst ended up behind queues that were longer than two prompts.
	maxWeighedRedirects = 4
	// maxWaitFactor bounds the wait at which a call stays, as a multiple of the time to
	// prefill its whole prompt. It is below 2, the longest wait that a burst of calls of one
	// prefix may cause.
	maxWaitFactor = 1.75
	// firstRedirects is the number of redirects after which a call stays up to that bound:
	// the engines nearby are then full, and a call that may not move any more would join any
	// queue.
	firstRedirects = 2
	// minExcess is the usual age of a report, by which the expected wait of short prompts is
	// wrong anyway.
	minExcess = 100 * time.Millisecond
)

// MaxRedirects returns the number of companions that may send the call elsewhere.
func (p *PromptChoice) MaxRedirects() int {
	if p.Mode == cacher.ModeWeighed {
		return maxWeighedRedirects
	}
	return maxRedirects
}

// ExcessAfter returns the wait in excess of the expected one from which the call is to move again
// after the given number of redirects; 0 means unspecified.
func (p *PromptChoice) ExcessAfter(redirects int) time.Duration {
	if redirects < firstRedirects {
		return p.MaxExcess
	}
	return max(p.MaxExcess, p.lateExcess)
}

// promptPlan is what an engine is expected to have cached of a call's prompt.
type promptPlan struct {
	// call is the call that the plan is for; nil means none.
	call     *Call
	uncached int
	// weighed means that expected, source and transfer apply.
	weighed  bool
	expected cacher.Expected
	// source is the engine to fetch from, nil for none, and transfer the time until the fetch
	// has ended.
	source   *backend
	fetched  int
	transfer time.Duration
}

// promptSource is an engine from which parts of a call's prompt can be fetched.
type promptSource struct {
	backend  *backend
	expected cacher.Expected
}

// prompt returns the prompt of the call.
func (c *Call) prompt() cacher.Prompt {
	return cacher.Prompt{Parts: c.Parts, Tokens: c.PartTokens, Total: c.Tokens}
}

// promptMode returns the mode in effect. The caller holds o.mu.
func (o *pool) promptMode(s *Settings) cacher.Mode { return s.PromptCache.Resolve(o.slowdownReported) }

// planPrompts computes for each candidate what it is expected to have cached of the call's
// prompt, and whether it is to fetch parts from another one. The caller holds o.mu.
func (o *pool) planPrompts(now time.Time, c *Call, engines *survey, s *Settings) {
	if o.engine == nil {
		return
	}
	mode := o.promptMode(s)
	for _, b := range engines.candidates {
		switch {
		case mode == cacher.ModeOff:
			b.plan = promptPlan{call: c, uncached: c.Tokens}
		case mode == cacher.ModeAffinity || !b.prompts.estimate.Published():
			b.plan = promptPlan{}
		default:
			b.plan = promptPlan{call: c, weighed: true, expected: b.expectPrompt(now, c, engines.adapter, func() cacher.Demand {
				return b.promptDemand(now, c, engines, o.prefillRate(s), s)
			})}
			b.plan.uncached = max(0, c.Tokens-int(math.Round(b.plan.expected.Tokens)))
		}
	}
	if mode == cacher.ModeWeighed {
		o.planFetches(now, c, engines, s)
	}
}

// promptDemand returns what is prefilled at the engine before the call.
func (b *backend) promptDemand(now time.Time, c *Call, engines *survey, rate float64, s *Settings) cacher.Demand {
	return cacher.Demand{
		Wait:    b.adapterWait(engines.adapter, c.Version, s) + b.limits.wait(now),
		Waiting: int(float64(b.state.WaitingMillis) / 1000 * rate), FullRate: rate,
	}
}

// expectPrompt returns what the engine is expected to have cached of the call's prompt: nothing
// if it does not hold the model and the adapter, since it drops their parts with them.
func (b *backend) expectPrompt(now time.Time, c *Call, adapter string, demand func() cacher.Demand) cacher.Expected {
	if c.Model != "" && !b.hasModel(c.Model) {
		return cacher.Expected{}
	}
	loading := false
	if adapter != "" {
		a, held := b.slot(adapter)
		if !held || a.Version != c.Version {
			return cacher.Expected{}
		}
		loading = a.Loading
	}
	d := demand()
	d.PlacedOnly = loading
	return b.prompts.estimate.Expect(now, c.prompt(), d)
}

// planFetches lets candidates fetch parts where that is sooner than to prefill them. The caller
// holds o.mu.
func (o *pool) planFetches(now time.Time, c *Call, engines *survey, s *Settings) {
	link := o.link()
	if !link.Usable() {
		return
	}
	rate := o.prefillRate(s)
	var sources []promptSource
	for _, b := range engines.candidates {
		if b.plan.call != c || !o.canServeFetch(now, b) {
			continue
		}
		// Placed calls have not prefilled their parts yet, and can't be fetched from.
		x := b.expectPrompt(now, c, engines.adapter, func() cacher.Demand { return cacher.Demand{FullRate: rate, ReportedOnly: true} })
		if x.Sure > 0 {
			sources = append(sources, promptSource{backend: b, expected: x})
		}
	}
	for _, b := range engines.candidates {
		if b.plan.call == c {
			b.planFetch(now, c, sources, link, rate)
		}
	}
}

// link returns the link between the engines of the pool. The caller holds o.mu.
func (o *pool) link() cacher.Link {
	return cacher.Link{TokenBytes: o.engine.KVTokenBytes, Mbps: o.engine.LinkMbps}
}

// canServeFetch reports whether other engines may fetch parts from an engine now. A silent host
// is suspect. The caller holds o.mu.
func (o *pool) canServeFetch(now time.Time, b *backend) bool {
	return b.member.Spec.State == storer.MemberStateServing && !now.Before(b.suspectUntil) && !o.declines(now, b) && b.freshReport(now)
}

// freshReport reports whether the companion's last report is young enough for a fetch.
func (b *backend) freshReport(now time.Time) bool {
	age := b.prompts.estimate.Age(now)
	if b.reported() && now.Sub(b.reportedAt) < age {
		age = now.Sub(b.reportedAt)
	}
	return age >= 0 && age < cacher.MaxSourceAge
}

// planFetch plans the fetch from the source by which the call's prompt is prefilled soonest, if
// that pays.
func (b *backend) planFetch(now time.Time, c *Call, sources []promptSource, link cacher.Link, rate float64) {
	own := b.plan.expected.Tokens
	factor := b.speed.Factor(now)
	whole := estimator.Scale(ReadTime(b.plan.uncached, c.Tokens, rate), factor)
	best := whole
	for _, source := range sources {
		beyond := float64(source.expected.Sure) - own
		if source.backend == b || beyond <= 0 || !source.backend.sharesWeights(b, c.Model) {
			continue
		}
		transfer := link.Transfer(int(math.Ceil(beyond)), source.backend.member.Spec.FailureDomain != b.member.Spec.FailureDomain)
		transfer += max(0, source.backend.prompts.transferUntil.Sub(now), b.prompts.transferUntil.Sub(now))
		uncached := max(0, c.Tokens-int(math.Round(own+beyond*source.expected.Probability)))
		read := estimator.Scale(ReadTime(uncached, c.Tokens, rate), factor)
		if cacher.Pays(transfer, whole-read) && read+transfer < best {
			best = read + transfer
			b.plan.uncached, b.plan.source, b.plan.transfer, b.plan.fetched = uncached, source.backend, transfer, int(beyond)
			b.plan.expected.Known, b.plan.expected.Probability = source.expected.Sure, source.expected.Probability
		}
	}
}

// spreadShare is the share of a prompt's prefill time by which engines that are otherwise
// equal differ in cost, in an order of each entry's own. Entries with the same old state would
// otherwise all choose the same engine for a further copy of a prefix.
const spreadShare = 0.25

// promptCost returns the cost of a fetch before the prompt is prefilled, and the share that
// spreads the copies of a prefix over engines. It is 0 unless the prompt's cached parts are
// weighed.
func (b *backend) promptCost(c *Call, read, load time.Duration) time.Duration {
	if b.plan.call != c || !b.plan.weighed || len(c.Parts) == 0 {
		return 0
	}
	cost := b.plan.transfer
	if load == 0 {
		cost += time.Duration(spreadShare * float64(read) * float64(b.rank) / math.MaxUint64)
	}
	return cost
}

// placePrompt counts the call's prompt at the chosen engine, and returns what is expected of it.
// The caller holds o.mu.
func (o *pool) placePrompt(now time.Time, c *Call, b *backend, wait time.Duration, s *Settings) PromptChoice {
	r := PromptChoice{Mode: o.promptMode(s), Age: b.prompts.estimate.Age(now)}
	uncached := b.uncached(c)
	if r.SavedTokens = max(0, c.Tokens-uncached); r.SavedTokens > 0 {
		r.Cached, r.Probability = r.SavedTokens, 1
	}
	if b.plan.call != c || !b.plan.weighed {
		return r
	}
	r.Cached, r.Probability = b.plan.expected.Known, b.plan.expected.Probability
	rate := o.prefillRate(s)
	read, elsewhere := ReadTime(uncached, c.Tokens, rate), ReadTime(c.Tokens, c.Tokens, rate)
	if len(c.Parts) > 0 {
		r.lateExcess = time.Duration(maxWaitFactor*float64(elsewhere)) - wait
		r.MaxExcess = max(minExcess, min(r.lateExcess, max(read, elsewhere-read)))
	}
	if source := b.plan.source; source != nil {
		r.FetchFrom, r.FetchTokens = source.member.Spec.Address, b.plan.fetched
		r.source, r.sourceIncarnation = source.member.Name, source.member.Spec.Incarnation
		until := now.Add(b.plan.transfer)
		source.prompts.transferUntil, b.prompts.transferUntil = until, until
	}
	b.prompts.estimate.Place(now, c.prompt(), uncached, wait)
	r.parts, r.prefilled = c.Parts, uncached
	return r
}

// FetchFrom returns the address from which the chosen engine is to fetch parts of the prompt,
// empty if from none. The engine there may have ended, begun to leave, fallen silent or loaded
// other weights while the call waited for admission.
func (p *Placer) FetchFrom(now time.Time, choice *Choice) string {
	if choice.Prompt.FetchFrom == "" {
		return ""
	}
	o := choice.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(choice.Prompt.source)
	if b == nil || b.member.Spec.Incarnation != choice.Prompt.sourceIncarnation || !o.canServeFetch(now, b) ||
		b.member.Spec.Weights != choice.Weights || choice.backend.member.Spec.Weights != choice.Weights {
		return ""
	}
	return choice.Prompt.FetchFrom
}
