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

// proposeTimeout limits the wait until a command is accepted: several times as long as
// an election.
const proposeTimeout = 10 * time.Second

// errQuarantined cancels the attempts of a request that was quarantined.
const errQuarantined = errors.ConstError("backend servers end under this request")

// identityCache holds the identity of a call and its hash. It is safe for concurrent
// use.
type identityCache struct {
	identify, locate sync.Once
	identity         identifier.Identity
	placeHash        uint64
}

// requestIdentity returns the call's identity.
func (j *job) requestIdentity() identifier.Identity {
	s := &j.identityCache
	s.identify.Do(func() { s.identity = identifier.Identify(j.content()) })
	return s.identity
}

// placeHash returns a fast hash of all parts of the call except its body.
func (j *job) placeHash() uint64 {
	s := &j.identityCache
	s.locate.Do(func() { s.placeHash = j.content().Place() })
	return s.placeHash
}

func (j *job) content() identifier.Request {
	return identifier.Request{
		Caller: j.callerID(), Method: j.request.Method, Host: j.request.Host, Target: target(j.request), Body: j.body,
	}
}

// maySuspect reports whether backend servers may have ended while they ran the request.
// It is cheap as long as there are no suspects.
func (j *job) maySuspect(v *tracker.View) bool {
	t := j.relayer.suspects
	return t.HasSuspects(v) && t.SuspectAt(v, j.placeHash())
}

// reportEnds records the requests that were in progress at a backend server that ended,
// and reports them to the control hosts, which add up the reports of all entries.
//
// A request that crashes its backend server, and that its caller repeats, takes down
// one backend server after another, each with all calls in progress there. An entry by
// itself sees only its own attempts, and each only as part of one attempt of the
// caller, so that the request would look new every time.
func (r *Relayer) reportEnds(l *loss) {
	c := storer.CountEnds{Service: l.service, Life: suspecter.Life(l.incarnation.name, l.incarnation.incarnation)}
	for _, a := range l.attempts {
		c.Requests = append(c.Requests, a.request)
	}
	r.suspects.Ended(r.settings.Now(), c)
	if result, ok := r.propose(c); ok {
		r.suspects.Reported(c, result.Revision)
	}
}

// propose submits a command to the replicated state, and logs a failure. It returns false if
// there is no result.
func (r *Relayer) propose(c storer.Command) (storer.Result, bool) {
	if r.settings.Submit == nil {
		return storer.Result{}, false
	}
	ctx, cancel := context.WithTimeout(r.root, proposeTimeout)
	defer cancel()
	result, err := r.settings.Submit(ctx, c)
	if err != nil {
		// The entry's own record remains in effect locally.
		r.settings.Log.Warn().Err(err).Msg("reporting a request's failures or answers to control failed")
	}
	return result, err == nil
}

// quarantined reports whether the request may not be sent to any backend server, and
// the length of the quarantine.
func (j *job) quarantined() (time.Duration, bool) {
	r := j.relayer
	v := r.settings.View()
	if d, is := j.blockedPart(v); is {
		return d, true
	}
	if !j.maySuspect(v) {
		return 0, false
	}
	d, is := r.suspects.Quarantine(v, r.settings.Now(), j.requestIdentity())
	j.suspect = j.suspect || is
	return d, is
}

// reasonQuarantined is part of the answer to callers.
const reasonQuarantined = "backend servers ended under this request; it is not run for some time"

// reasonBlocked is part of the answer to callers.
const reasonBlocked = "backend servers ended under a part of this prompt; it is not run for some time"

// refuseQuarantined refuses a quarantined request, or one with a blocked part. Its
// Retry-After is the whole length of the quarantine, because only the leader of the control
// group has the time that is left.
func (j *job) refuseQuarantined(whole time.Duration) {
	reason := reasonQuarantined
	if j.blocked != "" {
		reason = reasonBlocked
		j.relayer.metrics.blocked.WithLabelValues(j.service.Name).Inc()
	} else {
		j.relayer.metrics.quarantined.WithLabelValues(j.service.Name).Inc()
	}
	if j.failed != nil || j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(reason)
		return
	}
	_ = j.refuse(http.StatusTooManyRequests, reason, whole)
}

// clearSuspect records that a backend server answered the request, or failed it with an
// error of its own: the request does not crash its backend server.
func (j *job) clearSuspect() {
	r := j.relayer
	v := r.settings.View()
	if !j.maySuspect(v) || !r.suspects.RecordAnswer(v, j.requestIdentity()) {
		return
	}
	c := storer.ClearSuspects{Names: []string{j.requestIdentity().String()}}
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	if r.root.Err() == nil && r.inspections < maxLosses {
		r.inspections++
		r.tasks.Go(func() {
			r.propose(c)
			r.inspectionDone()
		})
	}
}

// inspectionDone ends a task started by recordLoss or clearSuspect.
func (r *Relayer) inspectionDone() {
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	r.inspections--
}

// cancelQuarantined cancels the attempts of newly quarantined requests whose answer has
// not started: each would end one more backend server.
func (r *Relayer) cancelQuarantined(v *tracker.View) {
	fresh := make(map[identifier.Identity]struct{})
	places := make(map[uint64]struct{})
	v.EachSuspect(func(id identifier.Identity, s blamer.Suspect) {
		if s.Spec.Quarantined && s.Revision > r.quarantineRevision {
			fresh[id], places[s.Spec.Place] = struct{}{}, struct{}{}
		}
	})
	r.quarantineRevision = v.Revision
	if len(fresh) == 0 {
		return
	}
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for _, attempts := range r.attempts {
		for a := range attempts {
			if _, near := places[a.job.placeHash()]; !near || a.started.Load() {
				continue
			}
			if _, is := fresh[a.job.requestIdentity()]; is {
				a.cancel(errQuarantined)
			}
		}
	}
}
