package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// tellTimeout bounds the wait until control takes a change in: an election, several times
// over.
const tellTimeout = 10 * time.Second

// errQuarantined ends the attempts of a request that has gone into quarantine.
const errQuarantined = errors.ConstError("backend servers end under this request")

// sameness is what makes a call the same as others. Several goroutines may ask for it.
type sameness struct {
	identify, locate sync.Once
	identity         identifier.Identity
	place            uint64
}

// same returns the call's identity.
func (j *job) same() identifier.Identity {
	s := &j.sameness
	s.identify.Do(func() { s.identity = identifier.Identify(j.content()) })
	return s.identity
}

// place returns a quick hash of all of the call but its body.
func (j *job) place() uint64 {
	s := &j.sameness
	s.locate.Do(func() { s.place = j.content().Place() })
	return s.place
}

func (j *job) content() identifier.Request {
	return identifier.Request{
		Caller: j.caller(), Method: j.request.Method, Host: j.request.Host, Target: target(j.request), Body: j.body,
	}
}

// maySuspect reports whether the call may be one under which backend servers ended. While
// there are none it costs a call nothing.
func (j *job) maySuspect(v *tracker.View) bool {
	t := j.relayer.suspects
	return t.Any(v) && t.SuspectAt(v, j.place())
}

// blame notes which requests were in progress at a backend server that has ended, and tells
// control, which adds up what all entries tell.
//
// A request that ends whatever runs it, and that its caller repeats, takes one backend
// server after the other, each with all that is in progress there. An entry that knows its
// own attempts only, and each only for one attempt of its caller, takes it for a new one
// each time.
func (r *Relayer) blame(l *loss) {
	c := storer.CountEnds{Service: l.service, Life: suspecter.Life(l.incarnation.name, l.incarnation.incarnation), Requests: l.attempts}
	r.suspects.Ended(r.settings.Now(), c)
	r.tell(c)
}

// tell has control take a change in.
func (r *Relayer) tell(c storer.Command) {
	if r.settings.Propose == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.root, tellTimeout)
	defer cancel()
	if err := r.settings.Propose(ctx, c); err != nil {
		// What this entry has seen goes on to count here.
		r.settings.Log.Warn().Err(err).Msg("control was not told of a request's ends or answers")
	}
}

// quarantined reports whether no backend server is to get the request, and for how long.
func (j *job) quarantined() (time.Duration, bool) {
	r := j.relayer
	v := r.settings.View()
	if !j.maySuspect(v) {
		return 0, false
	}
	d, is := r.suspects.Quarantine(v, r.settings.Now(), j.same())
	j.suspect = j.suspect || is
	return d, is
}

// reasonQuarantined is told to callers.
const reasonQuarantined = "backend servers ended under this request; it is not run for some time"

// refuseQuarantined answers a request that is kept from backend servers. It is told when to
// come back, for the whole time of the quarantine: how much of it is left only the control
// group's leader knows.
func (j *job) refuseQuarantined(whole time.Duration) {
	j.relayer.metrics.quarantined.WithLabelValues(j.service.Name).Inc()
	if j.failed != nil || j.mayHaveRun || j.began {
		j.exhausted(reasonQuarantined)
		return
	}
	_ = j.refuse(http.StatusTooManyRequests, reasonQuarantined, whole)
}

// survived notes that a run has answered the request, or failed by itself: it does not end
// what runs it.
func (j *job) survived() {
	r := j.relayer
	v := r.settings.View()
	if !j.maySuspect(v) || !r.suspects.Answered(v, j.same()) {
		return
	}
	c := storer.ClearSuspects{Names: []string{j.same().String()}}
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	if r.root.Err() == nil && r.inspecting < maxLosses {
		r.inspecting++
		r.tasks.Go(func() {
			r.tell(c)
			r.inspected()
		})
	}
}

// inspected ends what inspect or survived have begun.
func (r *Relayer) inspected() {
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	r.inspecting--
}

// endQuarantined ends the attempts of requests that have gone into quarantine and have not
// begun: each would end one more backend server.
func (r *Relayer) endQuarantined(v *tracker.View) {
	fresh := make(map[identifier.Identity]struct{})
	places := make(map[uint64]struct{})
	v.EachSuspect(func(id identifier.Identity, s blamer.Suspect) {
		if s.Spec.Quarantined && s.Revision > r.reviewed {
			fresh[id], places[s.Spec.Place] = struct{}{}, struct{}{}
		}
	})
	r.reviewed = v.Revision
	if len(fresh) == 0 {
		return
	}
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for _, attempts := range r.attempts {
		for a := range attempts {
			if _, near := places[a.job.place()]; !near || a.began.Load() {
				continue
			}
			if _, is := fresh[a.job.same()]; is {
				a.cancel(errQuarantined)
			}
		}
	}
}
