package relayer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	// gatherTime is the wait from the first attempt that broke with a backend server
	// until it is asked for: the connections of a process end together, and an entry
	// reads their ends within a few milliseconds.
	gatherTime = 20 * time.Millisecond
	// lifeTime is for how long a backend server that did not say that it is gone may
	// turn out to have begun another incarnation: its next announcement comes when it has
	// started, a few seconds later.
	lifeTime = 5 * time.Second
	// lifePoll is the time between two checks of what is known of it.
	lifePoll = 100 * time.Millisecond
	// maxLosses bounds what is inspected at a time, and maxLost the attempts of each:
	// more than an entry has in progress at one backend server.
	maxLosses = 256
	maxLost   = storer.MaxEnded
)

//go:generate stringer -type=fate -trimprefix=fate

// fate tells what became of a backend server with which attempts broke.
type fate int

const (
	// fateUnknown means that nobody knows: it may be cut off.
	fateUnknown fate = iota
	// fateEnded means that its incarnation has ended, without having said so before.
	fateEnded
	// fateLives means that it takes connections: only those of the attempts ended.
	fateLives
	// fateLeft means that it was leaving.
	fateLeft
)

// incarnation names one incarnation of a backend server.
type incarnation struct{ name, incarnation string }

// loss gathers the attempts that broke with one incarnation of a backend server in one moment.
type loss struct {
	incarnation      incarnation
	service, address string
	attempts         []storer.EndedRequest
}

// recordLoss notes that the call's attempt broke with its backend server, and has the backend
// server inspected.
func (r *Relayer) recordLoss(j *job) {
	broke := storer.EndedRequest{Name: j.same().String(), Place: j.place(), Progressed: j.progressed()}
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	of := incarnation{name: j.choice.Name, incarnation: j.choice.Incarnation}
	l := r.losses[of]
	switch {
	case l != nil && len(l.attempts) < maxLost:
		l.attempts = append(l.attempts, broke)
	case l != nil, r.inspecting >= maxLosses, r.root.Err() != nil:
		r.metrics.losses.WithLabelValues(j.service.Name, "Overflow").Inc()
	default:
		r.losses[of] = &loss{incarnation: of, service: j.service.Name, address: j.choice.Address, attempts: []storer.EndedRequest{broke}}
		r.inspecting++
		r.tasks.Go(func() { r.inspect(of) })
	}
}

// gather waits for what breaks in the same moment, and returns all of it.
func (r *Relayer) gather(of incarnation) *loss {
	pauser.Pause(r.root, gatherTime)
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	l := r.losses[of]
	delete(r.losses, of)
	return l
}

// inspect finds out whether a backend server has ended, and tells with which attempts.
//
// A connection that ends says nothing of the process at its other end: a cut, a middle box
// or an answer that is reset on its way end it as a crash does.
func (r *Relayer) inspect(of incarnation) {
	l := r.gather(of)
	f := r.fateOf(of, l.address)
	defer r.inspected()
	r.metrics.losses.WithLabelValues(l.service, f.String()).Inc()
	same := make([]string, 0, len(l.attempts))
	for _, s := range l.attempts {
		same = append(same, s.Name)
	}
	r.settings.Log.Info().Str("Backend", of.name).Str("Incarnation", of.incarnation).Stringer("Fate", f).
		Int("Sendings", len(l.attempts)).Strs("Same", same).Msg("sendings broke")
	if f == fateEnded {
		r.blame(l)
	}
}

// fateOf returns what became of a backend server.
func (r *Relayer) fateOf(of incarnation, address string) fate {
	if m, ok := r.settings.View().Member(of.name); !ok || m.Spec.Incarnation == of.incarnation && m.Spec.State != storer.MemberStateServing {
		return fateLeft
	}
	listens, err := r.settings.Pool.Listens(r.root, address)
	if err == nil && !listens {
		return fateEnded
	}
	until := r.settings.Now().Add(lifeTime)
	for r.settings.Now().Before(until) && r.root.Err() == nil {
		m, ok := r.settings.View().Member(of.name)
		switch {
		case !ok:
			return fateLeft
		case m.Spec.Incarnation != of.incarnation:
			return fateEnded
		}
		pauser.Pause(r.root, lifePoll)
	}
	if err == nil {
		return fateLives
	}
	return fateUnknown
}
