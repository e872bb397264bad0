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

// tellLimit bounds the wait until control takes in what an entry tells of a request: an
// election, several times over.
const tellLimit = 10 * time.Second

// identity returns what makes the request the same as others of its caller.
func (x *exchange) identity() identifier.Request {
	return identifier.Request{
		Caller: x.holder.Workspace + "/" + x.holder.Name, Method: x.r.Method, Target: x.r.URL.RequestURI(), Body: x.content,
	}
}

// maySuspect reports whether backend servers may have ended under the request. While there
// are no suspects it costs a call nothing.
func (q *request) maySuspect() bool {
	known, t := q.entry.settings.Index.Suspects(), q.entry.suspects
	return t.HasSuspects(known) && t.SuspectAt(known, q.identity().Place())
}

// quarantined refuses a request under which as many backend servers ended as may.
//
// One that ends whatever runs it, and that its caller repeats, takes one backend server
// after the other, each with all that is in progress there.
func (q *request) quarantined() *translator.Fault {
	e := q.entry
	if !q.maySuspect() {
		return nil
	}
	known := e.settings.Index.Suspects()
	e.suspects.Sync(known)
	whole, is := e.suspects.Quarantine(known, e.settings.Now(), identifier.Identify(q.identity()))
	if !is {
		return nil
	}
	f := translator.NewFault(http.StatusTooManyRequests, translator.CodeQuarantined, "backend servers ended under this request; it is not run for some time")
	f.RetryAfter = whole
	return f
}

// blame notes the lives of a backend server that ended while they ran the request, and tells
// control of them, which adds up what all entries tell.
func (q *request) blame(ctx context.Context, backend string, lives []string, progressed bool) {
	if len(lives) == 0 {
		return
	}
	of := q.identity()
	requests := []storer.EndedRequest{{Name: identifier.Identify(of).String(), Place: of.Place(), Progressed: progressed}}
	for _, life := range lives {
		c := storer.CountEnds{Service: q.call.Pool.Name, Life: suspecter.Life(backend, life), Requests: requests}
		q.entry.suspects.Ended(q.entry.settings.Now(), c)
		q.tell(ctx, c)
	}
}

// survived notes that a run has answered the request: it does not end what runs it.
func (q *request) survived(ctx context.Context) {
	if !q.maySuspect() {
		return
	}
	if id := identifier.Identify(q.identity()); q.entry.suspects.RecordAnswer(q.entry.settings.Index.Suspects(), id) {
		q.tell(ctx, storer.ClearSuspects{Names: []string{id.String()}})
	}
}

// tell has control take a change in, beside the request.
func (q *request) tell(ctx context.Context, c storer.Command) {
	e := q.entry
	e.beside(ctx, tellLimit, func(ctx context.Context) {
		if _, err := e.settings.Control.Propose(ctx, storer.Envelope{Command: c}); err != nil {
			// What this entry has seen goes on to count here.
			e.settings.Log.Warn().Err(err).Str("Request", q.id).Msg("control was not told of a request's ends or answers")
		}
	})
}
