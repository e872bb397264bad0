package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests that wait for a place in one backend server's batch.
type Queue struct {
	settings Settings
	// flows are the workspaces with items that wait or run, or whose virtual
	// start lies ahead of virtual.
	flows map[string]*flow
	// running are the items taken and not yet finished, by request.
	running map[string]taken
	// virtual is the start of the item last taken. It never goes back.
	virtual  float64
	sequence uint64
	requests int
	tokens   int64
	// accounted is the time up to which stalls are counted.
	accounted time.Time
	rate      rate
}

// taken is an item that runs.
type taken struct {
	workspace string
	tokens    int64
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), flows: map[string]*flow{}, running: map[string]taken{}}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return q.requests }

// Tokens returns the sum of the estimates of the items that wait.
func (q *Queue) Tokens() int64 { return q.tokens }

// Running returns the number of items taken and not finished.
func (q *Queue) Running() int { return len(q.running) }

// Push makes the item wait, unless it can't be done by its deadline, given that
// its version will be ready only after load. It returns what the queue refuses:
// the item itself, or newer items of a workspace that is more over its share.
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

// flow returns the workspace's flow. One that has been idle begins at the
// present virtual time: it earns nothing by having been idle.
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

// shed refuses items until the queue is within its bounds: of the pushed
// workspace while that is over its own bound, else of the workspace that is most
// over its share. The newest goes first, since it has waited least.
func (q *Queue) shed(pushed *flow) []Refused {
	var refused []Refused
	for len(pushed.items) > q.settings.WorkspaceRequests || pushed.tokens > q.settings.WorkspaceTokens {
		refused = append(refused, q.refuse(pushed, pushed.newest(), CauseFull))
	}
	for q.requests > q.settings.MaxRequests || q.tokens > q.settings.MaxTokens {
		f := q.heaviest()
		refused = append(refused, q.refuse(f, f.newest(), CauseFull))
	}
	return refused
}

// heaviest returns the flow that holds most of the scarcer bound for its share.
func (q *Queue) heaviest() *flow {
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
	q.forget(f)
	return w
}

// forget drops an idle flow whose start no longer matters.
func (q *Queue) forget(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.start <= q.virtual {
		delete(q.flows, f.workspace)
	}
}

// Remove takes the request out of the queue and reports whether it waited.
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

// Expire takes out the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	for _, f := range q.sorted() {
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

// Next takes the next item to run when the batch has the given number of free
// places. It asks start for the items in their fair order; start reports whether
// the item's version could be pinned. Next returns false when no item can run.
func (q *Queue) Next(now time.Time, free int, start func(Item) bool) (Started, bool) {
	q.account(now)
	if free > 0 {
		for _, f := range q.sorted() {
			for i, w := range f.items {
				if start(w.Item) {
					return q.take(now, f, i), true
				}
			}
		}
	}
	q.mark(free)
	return Started{}, false
}

func (q *Queue) take(now time.Time, f *flow, at int) Started {
	q.virtual = max(q.virtual, f.start)
	// A flow whose versions were not resident has fallen behind. It keeps its
	// place, but not a claim on all that was served meanwhile.
	f.start = max(f.start, q.virtual-f.charge(q.lag()))
	f.start += f.charge(f.items[at].Tokens)
	f.running++
	w := q.remove(f, at)
	q.running[w.Request] = taken{workspace: f.workspace, tokens: w.Tokens}
	return Started{Item: w.Item, Queued: now.Sub(w.arrived) - w.stalled, Stalled: w.stalled}
}

// lag bounds in tokens what a flow that could not be served may catch up.
func (q *Queue) lag() int64 { return q.settings.MaxTokens / lagFraction }

const lagFraction = 64

// Finish ends a running item with its real number of tokens, or a negative one
// where that is not known.
func (q *Queue) Finish(now time.Time, request string, tokens int64) {
	t, ok := q.running[request]
	if !ok {
		return
	}
	delete(q.running, request)
	f := q.flows[t.workspace]
	f.running--
	if tokens >= 0 {
		q.rate.note(now, tokens, q.settings.RateWindow)
		f.start += f.charge(tokens - t.tokens)
		// A refund must not put the flow so far ahead that it shuts out others.
		f.start = max(f.start, q.virtual-f.charge(q.lag()))
	}
	q.forget(f)
}

// sorted returns the flows with items in their fair order.
func (q *Queue) sorted() []*flow {
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

// account counts the time since the last call for the items that stall.
func (q *Queue) account(now time.Time) {
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

// mark notes which items stall from now on: as many as there are free places,
// in the fair order, none of which could start.
func (q *Queue) mark(free int) {
	for _, f := range q.sorted() {
		for _, w := range f.items {
			w.stalling = free > 0
			free--
		}
	}
}
