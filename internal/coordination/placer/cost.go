package placer

import (
	"cmp"
	"time"
)

const (
	// runTime is what each running call counts for: it slows every token a
	// little, and spreads calls where all else is equal.
	runTime = 700 * time.Microsecond
	// fullTime is what a full batch counts for.
	fullTime = 2 * time.Second
	// emptyTime is what an engine without its model counts for: it has begun to
	// load it, from its own disk as a rule. Requests wait there beside the load;
	// were they kept away, the first engine back would get all that wait.
	emptyTime = 500 * time.Millisecond
	// failureTime is what a share of 1 of failures counts for.
	failureTime = 2 * time.Second
	// disturbShare is what a prompt counts for, of its reading time, for each
	// stream that it holds up. It keeps long prompts from engines with many
	// streams, whose slots are then free sooner: at the users' heaviest days a
	// seventh more of the long streams came in time than without.
	disturbShare = 0.1
	// storeTime is what a load from the weight store counts for, beside the load
	// itself, where another engine has the adapter: the store serves some thirty
	// loads a second, and all that wait for theirs wait longer for one more.
	storeTime = 700 * time.Millisecond
	// storePins is the number of requests at each engine that holds the adapter
	// at which the cost of one more copy is half: they will share it.
	storePins = 3.0
	// homeTime is what each place in the adapter's order of engines counts for,
	// where it is loaded nowhere: entries that choose without each other then
	// load it at the same engine, which keeps its weights in memory.
	homeTime = 15 * time.Millisecond
)

// cost is the expected time until the call's first byte, and what else speaks
// against the backend server, in time.
func (o *pool) cost(now time.Time, c *Call, b *backend, seen *survey, s *Settings) time.Duration {
	cost := time.Duration(b.failures * float64(failureTime))
	away := b.member.Spec.FailureDomain != s.FailureDomain
	if o.engine == nil {
		if away {
			cost += s.Distance
		}
		return cost + o.serviceCost(now, b, s)
	}
	if away {
		cost += s.PromptDistance
	}
	read := b.readTime(c, s)
	load := b.loading(seen.adapter, c.Version, s)
	if load > 0 {
		cost += time.Duration(seen.places[b.index])*homeTime + seen.storeCost(c, b)
	}
	if c.Model != "" && !b.holds(c.Model) {
		load += emptyTime
	}
	cost += read + b.before(now, load) + time.Duration(b.running())*runTime
	cost += time.Duration(float64(read) * float64(b.running()) * disturbShare)
	if b.running() >= o.engine.Slots {
		cost += fullTime
	}
	return cost
}

// overlapShare is what counts of the shorter of two waits that pass at the same time:
// neither is known well.
const overlapShare = 0.3

// before returns the expected time until the reading of a call's prompt begins that
// waits for its adapter or the model for the time load. Prompts are read while adapters
// load, so that the two waits pass together. What waits there for adapters of its own
// is read before a call that waits too, and after one that does not.
//
// Without it, the few engines that are back first after a loss of power look idle: all
// that waits there for its adapter is read at once when the store has brought them,
// up to two seconds of reading.
func (b *backend) before(now time.Time, load time.Duration) time.Duration {
	backlog := b.backlog(now)
	if load <= 0 {
		return backlog
	}
	longer, shorter := max(load, backlog), min(load, backlog)
	return longer + time.Duration(float64(shorter)*overlapShare) + b.waiting()
}

// pairTime is the time by which each token of a prompt makes the reading of each
// token behind it longer. It doubles the time of prompts of some 50,000 tokens.
const pairTime = 0.0007 * float64(time.Microsecond)

// ReadTime returns the time to read the last fresh of a prompt's tokens, at rate
// tokens a second.
func ReadTime(fresh, tokens int, rate float64) time.Duration {
	pairs := float64(fresh) * (float64(tokens) - float64(fresh)/2)
	return time.Duration(float64(fresh)/rate*float64(time.Second) + pairs*pairTime)
}

func (b *backend) readTime(c *Call, s *Settings) time.Duration {
	return ReadTime(b.fresh(c), c.Tokens, s.PrefillRate)
}

// loadAge is the age up to which a backend server's word on its load counts.
const loadAge = 400 * time.Millisecond

// serviceCost is the time in a plain service's queue: its calls over its places,
// in call times.
func (o *pool) serviceCost(now time.Time, b *backend, s *Settings) time.Duration {
	calls := b.own
	if now.Sub(b.loadAt) < loadAge {
		calls = max(calls, b.load)
	}
	took := cmp.Or(b.callTime, s.CallTime)
	places := max(1, b.member.Spec.Slots)
	return took + time.Duration(float64(calls)/float64(places)*float64(took)) +
		time.Duration(o.random.Int64N(int64(time.Millisecond)))
}

// storeCost is what a load at the backend server costs others where another engine
// has the call's adapter in a slot or in its memory.
func (s *survey) storeCost(c *Call, b *backend) time.Duration {
	if _, warm := b.recent[s.adapter]; warm {
		return 0
	}
	copies, pins := s.copies, s.pins
	if own, has := b.copyOf(s.adapter, c.Version); has {
		copies--
		pins -= own
	}
	if copies == 0 {
		return 0
	}
	return time.Duration(float64(storeTime) / (1 + float64(pins)/float64(copies)/storePins))
}
