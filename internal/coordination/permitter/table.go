package permitter

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Settings.
const (
	DefaultRate     = 3.0
	DefaultParallel = 1
	DefaultOverlap  = 1
	DefaultExpiry   = 30 * time.Second
	DefaultMaxAge   = 5 * time.Second
)

// Settings are the options of a Table.
type Settings struct {
	// Rate is the number of loads per second that the weight store allows;
	// DefaultRate by default.
	Rate float64

	// Parallel is the number of transfers that the store serves at full speed
	// at once; DefaultParallel by default.
	Parallel int

	// Overlap is the maximum number of permits held for each of Parallel if loads are
	// observed not to disturb each other; DefaultOverlap, one load at a time, by
	// default.
	Overlap int

	// Expiry is the lifetime of a permit that its holder no longer reports;
	// DefaultExpiry by default.
	Expiry time.Duration

	// MaxAge is the wait after which a request precedes all younger ones of its
	// workspace; DefaultMaxAge by default.
	MaxAge time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Rate = cmp.Or(s.Rate, DefaultRate)
	s.Parallel = cmp.Or(s.Parallel, DefaultParallel)
	s.Overlap = cmp.Or(s.Overlap, DefaultOverlap)
	s.Expiry = cmp.Or(s.Expiry, DefaultExpiry)
	s.MaxAge = cmp.Or(s.MaxAge, DefaultMaxAge)
	return s
}

type target struct{ companion, version string }

type waiting struct {
	Request

	// since is the time at which the request first arrived.
	since time.Time
	// order distinguishes requests with equal since.
	order uint64
}

type held struct {
	grant Grant
	// since is the time at which the permit was granted.
	since time.Time
	// reported is the time at which the holder was last known to hold the permit.
	reported time.Time
	// sequence is the sequence number after which every report of the holder lists the
	// permit or its version, while either is in use; 0 while unknown.
	sequence uint64
}

// lane is the queue of one workspace.
type lane struct {
	requests map[target]*waiting
	share    float64
	// finish is the finish tag of the workspace's last grant, in virtual loads.
	finish float64
}

// Table is the leader's list of requests and permits. Only the leader has one, and it
// creates a new one each time it is elected.
type Table struct {
	settings Settings
	term     uint64
	// counter is the number of grants in this term.
	counter uint64
	order   uint64

	lanes map[string]*lane
	// virtual is the start tag of the last grant. It never decreases.
	virtual float64
	held    map[target]*held
	// pace bounds the number of permits in held.
	pace pace
	// next is the earliest time of the next grant at the store's rate.
	next time.Time

	// openAt is the time at which all permits of previous leaders have expired.
	openAt time.Time
	// unconfirmed is the set of companions that may hold a permit of a previous leader.
	// The table grants before openAt once the set is empty.
	unconfirmed map[string]struct{}
}

// NewTable returns the table of a leader elected in term at now. holders lists every
// companion that may hold a permit of a previous leader; nil means that they are
// unknown, and an empty slice that there are none.
//
// Without the wait for previous permits, permits of two leaders would be in use at
// once: the store would serve both loads slowly, which was observed as doubled stall
// times after elections.
func NewTable(s Settings, term uint64, now time.Time, holders []string) *Table {
	s = s.withDefaults()
	t := &Table{
		settings: s,
		term:     term,
		lanes:    make(map[string]*lane),
		held:     make(map[target]*held),
		pace:     newPace(s),
		openAt:   now.Add(s.Expiry),
		next:     now.Add(s.interval()),
	}
	if holders != nil {
		t.unconfirmed = make(map[string]struct{}, len(holders))
		for _, h := range holders {
			t.unconfirmed[h] = struct{}{}
		}
	}
	return t
}

// interval returns the time between two grants.
func (s Settings) interval() time.Duration { return time.Duration(float64(time.Second) / s.Rate) }

// Waiting returns the number of requests without a permit.
func (t *Table) Waiting() int {
	n := 0
	for _, l := range t.lanes {
		n += len(l.requests)
	}
	return n
}

// Held returns the number of permits in use.
func (t *Table) Held() int { return len(t.held) }

// Request adds a request. If its companion already has a permit for the version, the
// answer that carried the permit was lost, and the permit is returned again.
func (t *Table) Request(now time.Time, r Request) (Grant, bool) {
	key := target{companion: r.Companion, version: r.Version}
	if h, ok := t.held[key]; ok {
		h.reported, h.sequence = now, max(h.sequence, r.Sequence)
		return h.grant, true
	}
	l, ok := t.lanes[r.Workspace]
	if !ok {
		l = &lane{requests: make(map[target]*waiting)}
		t.lanes[r.Workspace] = l
	}
	l.share = float64(max(r.Share, 1))
	if w, ok := l.requests[key]; ok {
		r.Sequence = max(r.Sequence, w.Sequence)
		w.Request = r
		return Grant{}, false
	}
	t.order++
	l.requests[key] = &waiting{Request: r, since: now, order: t.order}
	return Grant{}, false
}

// Finish ends a permit or withdraws a request. A number other than that of the permit
// has no effect.
func (t *Table) Finish(now time.Time, f Finish) {
	key := target{companion: f.Companion, version: f.Version}
	if h, ok := t.held[key]; ok && (f.Number == 0 || f.Number == h.grant.Number) {
		if f.Number != 0 {
			t.pace.recordHeld(now.Sub(h.since), t.settings.interval())
		}
		delete(t.held, key)
	}
	if f.Number != 0 {
		return
	}
	for _, l := range t.lanes {
		delete(l.requests, key)
	}
}

// Report is a companion's report on the permits it holds.
type Report struct {
	Companion string
	// Term is the latest leader's term known to the companion. It accepts no permit of
	// an earlier one.
	Term uint64
	// Sequence increases with each report of the companion.
	Sequence uint64
	// Numbers lists the permits held.
	Numbers []uint64
	// Requested lists the versions for which permits are requested.
	Requested []string
}

// Report records the permits that a companion holds and requests.
func (t *Table) Report(now time.Time, r Report) {
	t.reportOwn(now, r)
	t.withdrawUnrequested(r)
	foreign := slices.ContainsFunc(r.Numbers, func(n uint64) bool { return Term(n) != t.term })
	switch {
	case foreign && !t.open(now):
		// A permit of a previous leader that is still in use keeps the table closed,
		// since its holder may continue as long as it reports the permit.
		t.openAt = now.Add(t.settings.Expiry)
	case !foreign && r.Term >= t.term:
		delete(t.unconfirmed, r.Companion)
	}
}

// reportOwn extends the permits of this term that a companion reports. It ends those
// that a later report than their request neither lists nor requests: the message that
// finished them was lost, or the grant reached nobody. If the request did not state its
// place among the reports, the first report that lists the permit is used instead.
func (t *Table) reportOwn(now time.Time, r Report) {
	for key, h := range t.held {
		if key.companion != r.Companion {
			continue
		}
		switch {
		case slices.Contains(r.Numbers, h.grant.Number):
			h.reported = now
			if h.sequence == 0 || r.Sequence < h.sequence {
				h.sequence = r.Sequence
			}
		case r.endsRequest(key.version, h.sequence):
			delete(t.held, key)
		}
	}
}

// withdrawUnrequested withdraws the requests of a companion that it no longer makes: the
// message that withdrew them was lost, or was overtaken by the request.
func (t *Table) withdrawUnrequested(r Report) {
	for _, l := range t.lanes {
		for key, w := range l.requests {
			if key.companion == r.Companion && r.endsRequest(key.version, w.Sequence) {
				delete(l.requests, key)
			}
		}
	}
}

// endsRequest reports whether the companion no longer requests the permit for a version,
// given the sequence number of its last report before the request.
func (r *Report) endsRequest(version string, sequence uint64) bool {
	return sequence != 0 && r.Sequence > sequence && !slices.Contains(r.Requested, version)
}

// open reports whether no permit of a previous leader can be in use.
func (t *Table) open(now time.Time) bool {
	return t.unconfirmed != nil && len(t.unconfirmed) == 0 || !now.Before(t.openAt)
}
