package placer

import (
	"cmp"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
)

// SpeedState is a companion's report on the speed of its engine's machine. It is a message of its
// own, since a further field of EngineState could not be decoded by hosts of earlier versions.
type SpeedState struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation identify the engine.
	Name        string
	Incarnation string
	// Percent is the slowdown factor that the engine reported AgeMillis milliseconds ago, and
	// UsualPercent the mean of all that this incarnation has reported, both in percent.
	Percent, UsualPercent int
	AgeMillis             int
}

// Record applies the report to what is known of the speed.
func (s *SpeedState) Record(now time.Time, speed *estimator.Speed) {
	at := now.Add(-time.Duration(max(0, s.AgeMillis)) * time.Millisecond)
	speed.Record(at, estimator.FromPercent(s.Percent), estimator.ReportLife)
	speed.SetUsual(estimator.FromPercent(s.UsualPercent))
}

// ReportSpeed applies a companion's report on the speed of its engine's machine.
func (p *Placer) ReportSpeed(now time.Time, service string, s SpeedState) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := o.find(s.Name); b != nil && b.member.Spec.Incarnation == s.Incarnation {
		s.Record(now, &b.speed)
		o.slowdownReported = true
	}
}

// RecordSlowdown records the slowdown factor that the chosen backend server reported with an answer
// or that its companion reported with a refusal.
func (p *Placer) RecordSlowdown(now time.Time, choice *Choice, factor float64) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	choice.backend.speed.Record(now, factor, 0)
	choice.pool.slowdownReported = true
}

// Slowdown returns the expected slowdown factor of a backend server, its usual one, and the age of
// the last report, which is negative if there was none.
func (p *Placer) Slowdown(now time.Time, service, name string) (factor, usual float64, age time.Duration) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(name)
	if b == nil {
		return 1, 1, -1
	}
	return b.speed.Factor(now), b.speed.Usual(now), b.speed.Age(now)
}

// prefillRate returns the prefill rate at the usual speed: the learnt one if there is one. The
// caller holds o.mu.
func (o *pool) prefillRate(s *Settings) float64 {
	rate, _ := o.learntRate.Learnt(s.PrefillRate)
	return rate
}

// readTimes returns the time to read the call's uncached tokens at the usual speed, and as it is
// expected now. The caller holds o.mu.
func (o *pool) readTimes(now time.Time, c *Call, b *backend, s *Settings) (usual, expected time.Duration) {
	usual = ReadTime(b.uncached(c), c.Tokens, o.prefillRate(s))
	return usual, estimator.Scale(usual, b.speed.Factor(now))
}

// expectedCallTime returns the expected duration of a call to a plain service. The caller holds
// the lock of the pool.
func (b *backend) expectedCallTime(now time.Time, s *Settings) time.Duration {
	return estimator.Scale(cmp.Or(b.callTime, s.CallTime), b.speed.Factor(now))
}

// atUsualSpeed returns how long a call that has just ended would have taken at factor 1.
func (b *backend) atUsualSpeed(now time.Time, took time.Duration) time.Duration {
	return estimator.Scale(took, 1/b.speed.Factor(now))
}

// rateSample describes a call from whose first byte the prefill rate is learnt. The zero value
// stands for none.
type rateSample struct {
	// fresh is the number of tokens to prefill, of a prompt with tokens tokens.
	fresh, tokens int
	// factor is the slowdown factor that was expected.
	factor float64
}

// minSampleTokens is the smallest number of tokens to prefill of a call from which the prefill rate
// is learnt. At fewer, the round trips to companion and engine are most of the time.
const minSampleTokens = 1500

// sampleRate marks a placed call with fresh tokens to prefill as one to learn the prefill rate from.
// Such a call expects no wait, and no token of its prompt can be cached without the entry's
// knowledge, which would make the engine appear faster. The caller holds o.mu.
func (o *pool) sampleRate(now time.Time, c *Call, fresh int, choice *Choice) {
	b, own := choice.backend, c.Tokens
	for _, tokens := range c.PartTokens[:max(0, len(c.PartTokens)-1)] {
		own -= tokens
	}
	switch {
	case o.engine == nil, !b.speed.Reported(), !b.reported(), fresh < minSampleTokens, fresh > own:
	case choice.Backlog > 0, choice.Load > 0, choice.Turn > 0, b.waitingRead(now) > 0, c.Model != "" && !b.hasModel(c.Model):
	default:
		choice.sample = rateSample{fresh: fresh, tokens: c.Tokens, factor: b.speed.Factor(now)}
	}
}

// learnRate learns the prefill rate from the first byte of a call's answer. Of the factors at the
// placement and now it uses the smaller one, as it can't tell when the machine's speed changed. The
// caller holds o.mu.
func (o *pool) learnRate(now time.Time, choice *Choice) {
	sample := choice.sample
	if sample.fresh == 0 {
		return
	}
	factor := min(sample.factor, choice.backend.speed.Factor(now))
	took := estimator.Scale(now.Sub(choice.startedAt), 1/factor)
	if took -= time.Duration(tokenPairs(sample.fresh, sample.tokens) * tokenPairTime); took > 0 {
		o.learntRate.Add(float64(sample.fresh) / took.Seconds())
	}
}
