package gatekeeper

import (
	"context"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// proposeTimeout limits the wait until control accepts a report on a request: several
// times as long as an election.
const proposeTimeout = 10 * time.Second

// identity returns the properties by which requests of a caller are recognized as the
// same.
func (x *exchange) identity() identifier.Request {
	return identifier.Request{
		Caller: x.holder.Workspace + "/" + x.holder.Name, Method: x.r.Method, Target: x.r.URL.RequestURI(), Body: x.content,
	}
}

// maySuspect reports whether backend servers may have ended while they ran the request.
// It is cheap as long as there are no suspects.
func (q *request) maySuspect() bool {
	known, t := q.entry.settings.Index.Suspects(), q.entry.suspects
	return t.HasSuspects(known) && t.SuspectAt(known, q.identity().Place())
}

// quarantined refuses a request if too many backend servers ended while they ran it.
//
// A request that crashes its backend server, and that its caller repeats, takes down
// one backend server after another, each with all requests in progress there.
func (q *request) quarantined() *translator.Fault {
	e := q.entry
	if !q.maySuspect() {
		return nil
	}
	// The list is read after the revision, so that it is at least as new.
	revision := e.settings.Index.Revision()
	known := e.settings.Index.Suspects()
	e.suspects.Sync(known, revision)
	whole, is := e.suspects.Quarantine(known, e.settings.Now(), identifier.Identify(q.identity()))
	if !is {
		return nil
	}
	f := translator.NewFault(http.StatusTooManyRequests, translator.CodeQuarantined, "backend servers ended under this request; it is not run for some time")
	f.RetryAfter = whole
	return f
}

// reportEnds records the incarnations of a backend server that ended while they ran the
// attempt, and reports them to control, which adds up the reports of all entries.
func (q *request) reportEnds(ctx context.Context, a *attempt) {
	if len(a.end.EndedLives) == 0 {
		return
	}
	of := q.identity()
	requests := []storer.EndedRequest{{
		Name: identifier.Identify(of).String(), Place: of.Place(), Progressed: a.assembler.Next() > 0, Known: a.knownRevision,
	}}
	for _, incarnation := range a.end.EndedLives {
		c := storer.CountEnds{Service: q.call.Pool.Name, Life: suspecter.Life(a.backend, incarnation), Requests: requests}
		q.entry.suspects.Ended(q.entry.settings.Now(), c)
		q.propose(ctx, c, func(r storer.Result) { q.entry.suspects.Reported(c, r.Revision) })
	}
}

// clearSuspect records that a backend server answered the request, which therefore does
// not crash its backend server.
func (q *request) clearSuspect(ctx context.Context) {
	if !q.maySuspect() {
		return
	}
	if id := identifier.Identify(q.identity()); q.entry.suspects.RecordAnswer(q.entry.settings.Index.Suspects(), id) {
		q.propose(ctx, storer.ClearSuspects{Names: []string{id.String()}}, func(storer.Result) {})
	}
}

// propose submits a command in the background. It passes the result to done, or logs a failure.
func (q *request) propose(ctx context.Context, c storer.Command, done func(storer.Result)) {
	e := q.entry
	e.runDetached(ctx, proposeTimeout, func(ctx context.Context) {
		result, err := e.settings.Control.Propose(ctx, storer.Envelope{Command: c})
		if err != nil {
			// The entry's own record remains in effect locally.
			e.settings.Log.Warn().Err(err).Str("Request", q.id).Msg("reporting a request's failures or answers to control failed")
			return
		}
		done(result)
	})
}
