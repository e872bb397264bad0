package separator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

const (
	// sharePerEngine is the share of time that a designated engine is to spend on long prefills. At
	// half of its time, long prompts wait for each other, and miss their targets.
	sharePerEngine = 0.3
	// maxShare is the largest share of the serving engines that is designated.
	maxShare = 0.5
	// decreaseInterval is the shortest time between a change of the number of designated engines
	// and its decrease by one. Otherwise engines would change groups with each fluctuation of the
	// load, while streams run there for seconds.
	decreaseInterval = 2 * time.Second
	// reportLife is the age from which a reported share counts as 0: twice the time after which it
	// is reported again.
	reportLife = 10 * time.Second
)

// Engine is a serving engine.
type Engine struct {
	Name, Incarnation, FailureDomain string
}

// Set designates engines of one service. The zero value designates none.
type Set struct {
	// order lists the serving engines in the order in which they are designated.
	order []Engine
	// shares holds the reported shares by engine.
	shares     map[string]reportedShare
	designated map[string]struct{}
	state      State
	changedAt  time.Time
	// stale means that engines or shares have changed since the last update, and due is the time
	// at which the set may change otherwise; zero means never.
	stale bool
	due   time.Time
}

type reportedShare struct {
	incarnation string
	share       float64
	at          time.Time
}

// State is the state of a Set, with what it follows from.
type State struct {
	// Designated is the number of designated engines, and Target the number that the shares ask for.
	Designated, Target int
	// Serving is the number of serving engines, and Reports that of their shares that count.
	Serving, Reports int
	// Sum is the sum of these shares, and Oldest the time of the oldest of them.
	Sum    float64
	Oldest time.Time
}

// SetEngines replaces the serving engines of the service.
func (s *Set) SetEngines(service string, engines []Engine) {
	s.order, s.stale = Order(service, engines), true
	for name, r := range s.shares {
		if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Name == name && e.Incarnation == r.incarnation }) {
			delete(s.shares, name)
		}
	}
}

// Clone returns a copy of the set.
func (s *Set) Clone() Set {
	c := *s
	c.shares, c.designated = maps.Clone(s.shares), maps.Clone(s.designated)
	return c
}

// Order returns the engines in the order in which they are designated: one of each failure domain by
// turns, and within a domain by a hash of the service's and the engine's names. Entries with the same
// engines have the same order.
func Order(service string, engines []Engine) []Engine {
	hash := xxhash.Sum64String(service)
	type place struct {
		Engine
		hash uint64
		turn int
	}
	places := make([]place, 0, len(engines))
	for _, e := range engines {
		places = append(places, place{Engine: e, hash: hasher.Mix(hash ^ xxhash.Sum64String(e.Name))})
	}
	slices.SortFunc(places, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.FailureDomain, y.FailureDomain), cmp.Compare(x.hash, y.hash), cmp.Compare(x.Name, y.Name))
	})
	for i := 1; i < len(places); i++ {
		if places[i].FailureDomain == places[i-1].FailureDomain {
			places[i].turn = places[i-1].turn + 1
		}
	}
	slices.SortStableFunc(places, func(x, y place) int { return cmp.Compare(x.turn, y.turn) })
	order := make([]Engine, len(places))
	for i := range places {
		order[i] = places[i].Engine
	}
	return order
}

// Report records the share that a companion has reported for an incarnation of its engine.
func (s *Set) Report(now time.Time, name, incarnation string, share float64) {
	if math.IsNaN(share) {
		return
	}
	if s.shares == nil {
		s.shares = make(map[string]reportedShare)
	}
	s.shares[name] = reportedShare{incarnation: incarnation, share: min(max(share, 0), 1), at: now}
	s.stale = true
}

// Update brings the set up to date, and reports whether the designated engines or their shares have
// changed since the last call. It costs next to nothing if nothing can have changed.
func (s *Set) Update(now time.Time) bool {
	if !s.stale && (s.due.IsZero() || now.Before(s.due)) {
		return false
	}
	s.stale, s.due = false, time.Time{}
	next := State{Serving: len(s.order), Designated: s.state.Designated}
	for _, e := range s.order {
		r, known := s.shares[e.Name]
		switch {
		case !known || r.incarnation != e.Incarnation || r.share == 0:
			continue
		case now.Sub(r.at) >= reportLife:
			delete(s.shares, e.Name)
			continue
		}
		next.Reports++
		next.Sum += r.share
		if next.Oldest.IsZero() || r.at.Before(next.Oldest) {
			next.Oldest = r.at
		}
	}
	if next.Reports > 0 {
		s.due = next.Oldest.Add(reportLife)
	}
	s.resize(now, &next)
	s.state = next
	s.designate()
	return true
}

// resize sets the number of designated engines.
func (s *Set) resize(now time.Time, next *State) {
	most := int(maxShare * float64(next.Serving))
	if next.Sum > 0 {
		// The subtrahend is far above rounding errors of the sum and far below a share of one percent.
		next.Target = min(most, max(1, int(math.Ceil(next.Sum/sharePerEngine-1e-6))))
	}
	before := next.Designated
	next.Designated = min(most, max(before, next.Target))
	if next.Designated > next.Target {
		if next.Designated == before && now.Sub(s.changedAt) >= decreaseInterval {
			next.Designated--
		}
		if again := now.Add(decreaseInterval); next.Designated != before {
			s.dueBy(again)
		} else {
			s.dueBy(s.changedAt.Add(decreaseInterval))
		}
	}
	if next.Designated != before {
		s.changedAt = now
	}
}

func (s *Set) dueBy(at time.Time) {
	if s.due.IsZero() || at.Before(s.due) {
		s.due = at
	}
}

func (s *Set) designate() {
	if s.designated == nil {
		s.designated = make(map[string]struct{})
	}
	clear(s.designated)
	for _, e := range s.order[:s.state.Designated] {
		s.designated[e.Name] = struct{}{}
	}
}

// State returns the state as of the last update.
func (s *Set) State() State { return s.state }

// Has reports whether an engine is designated as of the last update.
func (s *Set) Has(name string) bool {
	_, has := s.designated[name]
	return has
}

// Share returns the share of time that a designated engine is expected to spend on long prefills:
// the reported one, but at least the mean of the designated engines, since long prompts go there from
// now on.
func (s *Set) Share(name string) float64 {
	if s.state.Designated == 0 {
		return 0
	}
	return min(1, max(s.shares[name].share, s.state.Sum/float64(s.state.Designated)))
}
