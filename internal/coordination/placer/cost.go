package placer

import "time"

const (
	// runningCallCost is the cost of each running call. A running call slows down every
	// token slightly; the cost also spreads calls over engines that are otherwise
	// equal.
	runningCallCost = 700 * time.Microsecond
	// fullBatchCost is the cost of a full batch.
	fullBatchCost = 2 * time.Second
	// missingModelCost is the cost of an engine that does not have its model yet. It
	// has begun to load it, normally from its own disk, and requests may wait there
	// during the load. If such engines were excluded, the first one to finish loading
	// would receive all waiting requests.
	missingModelCost = 500 * time.Millisecond
	// failureCost is the cost of a failure rate of 1.
	failureCost = 2 * time.Second
	// streamDelayShare is the cost of reading a prompt, as a share of its reading time,
	// for each stream delayed by it. It keeps long prompts away from engines with many
	// streams, whose slots are then released sooner: on days of peak load, a seventh
	// more of the long streams met their target.
	streamDelayShare = 0.1
	// storeLoadCost is the cost of a load from the weight store, in addition to the
	// load time, if another engine has the adapter. The store serves about thirty loads
	// per second, and each additional load delays all others that are waiting.
	storeLoadCost = 700 * time.Millisecond
	// storeCostHalvingPins is the number of requests per engine holding the adapter at
	// which the cost of another copy is halved, because the requests will share it.
	storeCostHalvingPins = 3.0
	// affinityStepCost is the cost of each position in the adapter's affinity order if
	// no engine has the adapter. It makes entries that choose independently load the
	// adapter at the same engine, which then keeps the weights in memory.
	affinityStepCost = 15 * time.Millisecond
)

// Terms are the terms of a candidate's cost: the expected time until the call's first byte,
// plus penalties expressed as time.
type Terms struct {
	// Failures is the penalty for the failure rate, Turn the wait for the call's turn under the
	// limit of requests, and Distance the penalty for another failure domain.
	Failures, Turn, Distance time.Duration
	// Read is the time to read the uncached part of the prompt, and Wait that until the reading
	// starts: for prompts before it, and for the adapter and the model.
	Read, Wait time.Duration
	// Prompt is the time to fetch cached parts of the prompt, and the share that spreads the
	// copies of a prefix over engines.
	Prompt time.Duration
	// Affinity and Store are the penalties for a load of the adapter at this engine instead of
	// another one.
	Affinity, Store time.Duration
	// Separation is the penalty for long prefills beside streams of calls with short prompts.
	Separation time.Duration
	// Running is the penalty for running calls, Streams that for delaying their streams, and
	// FullBatch that for a full batch.
	Running, Streams, FullBatch time.Duration
	// Unknown is the penalty for a state that the entry does not follow.
	Unknown time.Duration
	// Duration is the duration of a call to a plain service, Queue the wait before it, and
	// Tie a random time that breaks ties.
	Duration, Queue, Tie time.Duration
}

// Cost returns the sum of the terms.
func (t *Terms) Cost() time.Duration {
	return t.Failures + t.Turn + t.Distance + t.Read + t.Wait + t.Prompt + t.Affinity + t.Store + t.Separation +
		t.Running + t.Streams + t.FullBatch + t.Unknown + t.Duration + t.Queue + t.Tie
}

// terms returns the terms of the cost of a call at a backend server that the entry knows.
// The caller holds o.mu.
func (o *pool) terms(now time.Time, c *Call, b *backend, engines *survey, s *Settings) Terms {
	t := Terms{Failures: time.Duration(b.failures * float64(failureCost)), Turn: b.limits.wait(now)}
	otherDomain := b.member.Spec.FailureDomain != s.FailureDomain
	if o.engine == nil {
		if otherDomain {
			t.Distance = s.Distance
		}
		t.Duration, t.Queue = o.serviceCost(now, b, s)
		t.Tie = time.Duration(o.random.Int64N(int64(maxTie)))
		return t
	}
	if otherDomain {
		t.Distance = s.PromptDistance
	}
	usual, read := o.readTimes(now, c, b, s)
	t.Read, t.Separation = read, engines.group.cost(b, usual, read)
	load := b.adapterWait(engines.adapter, c.Version, s)
	t.Prompt = b.promptCost(c, t.Read, load)
	if load > 0 {
		t.Affinity, t.Store = time.Duration(engines.places[b.index])*affinityStepCost, engines.storeCost(c, b)
	}
	if c.Model != "" && !b.hasModel(c.Model) {
		load += missingModelCost
	}
	t.Wait = b.promptWait(now, load)
	t.Running = time.Duration(b.runningCalls()) * runningCallCost
	t.Streams = time.Duration(float64(t.Read) * float64(b.runningCalls()) * streamDelayShare)
	if b.runningCalls() >= o.engine.Slots {
		t.FullBatch = fullBatchCost
	}
	return t
}

// overlappingWaitShare is the share of the shorter of two concurrent waits that is
// added to the longer one, since neither is known precisely.
const overlappingWaitShare = 0.3

// promptWait returns the expected time until the engine starts reading the prompt of a
// call that waits for load for its adapter or model. Prompts are read during loads, so
// the two waits overlap. Prompts of other calls that wait for adapters are read before
// a call that waits too, and after one that does not.
//
// If waiting prompts were ignored, the first engines to come back after a loss of power
// would appear idle: all prompts that wait there for an adapter are read as soon as the
// store has delivered it, which takes up to two seconds.
func (b *backend) promptWait(now time.Time, load time.Duration) time.Duration {
	backlog := b.backlog(now)
	if load <= 0 {
		return backlog
	}
	longer, shorter := max(load, backlog), min(load, backlog)
	return longer + time.Duration(float64(shorter)*overlappingWaitShare) + b.waitingRead(now)
}

// tokenPairTime is the time that each prompt token adds to the reading of each later
// token. It doubles the reading time of prompts of about 50,000 tokens.
const tokenPairTime = 0.0007 * float64(time.Microsecond)

// ReadTime returns the time to read the last fresh of a prompt's tokens at the given
// rate, in tokens per second.
func ReadTime(fresh, tokens int, rate float64) time.Duration {
	return time.Duration(float64(fresh)/rate*float64(time.Second) + tokenPairs(fresh, tokens)*tokenPairTime)
}

// tokenPairs returns the number of pairs of a token to read and an earlier one.
func tokenPairs(fresh, tokens int) float64 {
	return float64(fresh) * (float64(tokens) - float64(fresh)/2)
}

// maxLoadAge is the age up to which a load reported by a backend server is used.
const maxLoadAge = 400 * time.Millisecond

// maxTie bounds the random time that breaks ties between backend servers of a plain service.
const maxTie = time.Millisecond

// serviceCost returns the expected duration of a call at a backend server of a plain service,
// and the queueing time before it: the calls in progress divided by its slots, times the mean
// duration of a call. The caller holds o.mu.
func (o *pool) serviceCost(now time.Time, b *backend, s *Settings) (duration, queue time.Duration) {
	calls := b.ownCalls
	if now.Sub(b.loadAt) < maxLoadAge {
		calls = max(calls, b.load)
	}
	duration = b.expectedCallTime(now, s)
	places := max(1, b.member.Spec.Slots)
	return duration, time.Duration(float64(calls) / float64(places) * float64(duration))
}

// storeCost returns the cost that a load at the backend server causes to others if
// another engine already has the call's adapter in a slot or in memory.
func (s *survey) storeCost(c *Call, b *backend) time.Duration {
	if _, warm := b.recent[s.adapter]; warm {
		return 0
	}
	copies, pins := s.copies, s.pins
	if s.group.active {
		// A copy in the other group is of no use to the call.
		if copies, pins = s.designatedCopies, s.designatedPins; !s.group.long {
			copies, pins = s.copies-copies, s.pins-pins
		}
	}
	if own, has := b.findCopy(s.adapter, c.Version); has && (!s.group.active || s.group.own(b)) {
		copies--
		pins -= own
	}
	if copies == 0 {
		return 0
	}
	return time.Duration(float64(storeLoadCost) / (1 + float64(pins)/float64(copies)/storeCostHalvingPins))
}
