package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests that wait for a place in one backend server's batch.
type Queue struct {
	settings Settings
	// flows holds the workspaces that have waiting or running items, or whose virtual
	// start is ahead of virtual.
	flows map[string]*flow
	// running maps requests to the items taken and not yet finished.
	running map[string]taken
	// virtual is the start tag of the last item taken. It never decreases.
	virtual  float64
	sequence uint64
	requests int
	tokens   int64
	// accounted is the time up to which stalls have been counted.
	accounted time.Time
	rate      rate
}

// taken is a running item.
type taken struct {
	workspace string
	tokens    int64
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), flows: map[string]*flow{}, running: map[string]taken{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.requests }

// Tokens returns the sum of the estimates of the waiting items.
func (q *Queue) Tokens() int64 { return q.tokens }

// Running returns the number of items taken and not yet finished.
func (q *Queue) Running() int { return len(q.running) }

// Push adds the item to the queue unless it cannot be completed by its deadline, given
// that its version is ready after load. It returns the refused items: either the item
// itself, or newer items of a workspace that exceeds its share by more.
func (q *Queue) Push(now time.Time, it Item, load time.Duration) []Refused {
	it.Share = max(1, it.Share)
	it.Tokens = max(1, it.Tokens)
	it.Priority = min(max(0, it.Priority), TopPriority)
	if !it.Deadline.IsZero() {
		if wait := q.Estimate(it, load); now.Add(wait).After(it.Deadline) {
			return []Refused{{Item: it, Cause: CauseDeadline, RetryAfter: wait}}
		}
	}
	q.sequence++
	w := &waiting{
		Item: it, arrived: now, sequence: q.sequence,
		key: now.Add(-time.Duration(it.Priority) * q.settings.AgeStep),
	}
	f := q.flow(it)
	f.insert(w)
	q.requests++
	q.tokens += it.Tokens
	return q.shed(f)
}

// flow returns the workspace's flow. An idle flow starts at the current virtual time,
// so that idling earns no credit.
func (q *Queue) flow(it Item) *flow {
	f := q.flows[it.Workspace]
	if f == nil {
		f = &flow{workspace: it.Workspace}
		q.flows[it.Workspace] = f
	}
	f.share = it.Share
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
	}
	return f
}

// shed refuses items until the queue is within its bounds: items of the pushed
// workspace while that exceeds its own bound, then of the workspace that exceeds its
// share most. The newest item is refused first because it has waited least.
func (q *Queue) shed(pushed *flow) []Refused {
	var refused []Refused
	for len(pushed.items) > q.settings.WorkspaceRequests || pushed.tokens > q.settings.WorkspaceTokens {
		refused = append(refused, q.refuse(pushed, pushed.newest(), CauseFull))
	}
	for q.requests > q.settings.MaxRequests || q.tokens > q.settings.MaxTokens {
		f := q.mostOverShare()
		refused = append(refused, q.refuse(f, f.newest(), CauseFull))
	}
	return refused
}

// mostOverShare returns the flow that holds the largest part of the exceeded bound
// relative to its share.
func (q *Queue) mostOverShare() *flow {
	byTokens := q.tokens > q.settings.MaxTokens
	var best *flow
	var most float64
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		held := float64(len(f.items)) / float64(f.share)
		if byTokens {
			held = f.charge(f.tokens)
		}
		if best == nil || held > most || held == most && f.workspace < best.workspace {
			best, most = f, held
		}
	}
	return best
}

func (q *Queue) refuse(f *flow, at int, c Cause) Refused {
	w := q.remove(f, at)
	return Refused{Item: w.Item, Cause: c, RetryAfter: q.rate.timeFor(q.tokens)}
}

func (q *Queue) remove(f *flow, at int) *waiting {
	w := f.remove(at)
	q.requests--
	q.tokens -= w.Tokens
	q.dropIdle(f)
	return w
}

// dropIdle removes an idle flow whose start no longer affects the order.
func (q *Queue) dropIdle(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.start <= q.virtual {
		delete(q.flows, f.workspace)
	}
}

// Remove removes the request from the queue and reports whether it was waiting.
func (q *Queue) Remove(request string) bool {
	for _, f := range q.flows {
		for i, w := range f.items {
			if w.Request == request {
				q.remove(f, i)
				return true
			}
		}
	}
	return false
}

// Expire removes the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	for _, f := range q.inFairOrder() {
		for i := 0; i < len(f.items); {
			if d := f.items[i].Deadline; d.IsZero() || now.Before(d) {
				i++
				continue
			}
			refused = append(refused, q.refuse(f, i, CauseDeadline))
		}
	}
	return refused
}

// Next takes the next item to run when the batch has free places. It calls start for
// the items in fair order; start reports whether the item's version was pinned. Next
// returns false if no item can run.
func (q *Queue) Next(now time.Time, free int, start func(Item) bool) (Started, bool) {
	q.accountStalls(now)
	if free > 0 {
		for _, f := range q.inFairOrder() {
			for i, w := range f.items {
				if start(w.Item) {
					return q.take(now, f, i), true
				}
			}
		}
	}
	q.markStalled(free)
	return Started{}, false
}

func (q *Queue) take(now time.Time, f *flow, at int) Started {
	q.virtual = max(q.virtual, f.start)
	// A flow whose versions were not resident has fallen behind. It keeps its position
	// but may catch up only a limited part of what was served meanwhile.
	f.start = max(f.start, q.virtual-f.charge(q.maxLag()))
	f.start += f.charge(f.items[at].Tokens)
	f.running++
	w := q.remove(f, at)
	q.running[w.Request] = taken{workspace: f.workspace, tokens: w.Tokens}
	return Started{Item: w.Item, Queued: now.Sub(w.arrived) - w.stalled, Stalled: w.stalled}
}

// maxLag returns the number of tokens that a flow which could not be served may catch
// up.
func (q *Queue) maxLag() int64 { return q.settings.MaxTokens / lagFraction }

const lagFraction = 64

// Finish ends a running item with its actual number of tokens, or a negative number if
// that is unknown.
func (q *Queue) Finish(now time.Time, request string, tokens int64) {
	t, ok := q.running[request]
	if !ok {
		return
	}
	delete(q.running, request)
	f := q.flows[t.workspace]
	f.running--
	if tokens >= 0 {
		q.rate.record(now, tokens, q.settings.RateWindow)
		f.start += f.charge(tokens - t.tokens)
		// A refund must not advance the flow so far that other flows are blocked.
		f.start = max(f.start, q.virtual-f.charge(q.maxLag()))
	}
	q.dropIdle(f)
}

// inFairOrder returns the flows with items in the order of service.
func (q *Queue) inFairOrder() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.items) > 0 {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.workspace, b.workspace))
	})
	return flows
}

// accountStalls adds the time since its last call to the stalled items.
func (q *Queue) accountStalls(now time.Time) {
	passed := now.Sub(q.accounted)
	q.accounted = now
	if passed <= 0 {
		return
	}
	for _, f := range q.flows {
		for _, w := range f.items {
			if w.stalling {
				w.stalled += passed
			}
		}
	}
}

// markStalled marks the items that are stalled from now on: the first free items in
// fair order, none of which could start.
func (q *Queue) markStalled(free int) {
	for _, f := range q.inFairOrder() {
		for _, w := range f.items {
			w.stalling = free > 0
			free--
		}
	}
}
