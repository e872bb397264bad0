package relayer

import (
	"context"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// knowledgeWait is how long a call is held for the answer of a control host: some round
// trips. Another entry does better by then.
const knowledgeWait = 300 * time.Millisecond

// bar tells why a call may not go on.
type bar struct {
	status int
	reason string
	after  time.Duration
}

// KeysTrusted reports whether calls with a key may be let through: what is known of the
// keys is young enough, or none are needed.
func (r *Relayer) KeysTrusted() bool {
	v := r.settings.View().Routing
	return v == nil || !v.Keyed || r.keysKnown()
}

// keysKnown reports whether the age of what is known of the keys is within their lease.
func (r *Relayer) keysKnown() bool {
	if r.settings.Control == nil || r.settings.KeyLease <= 0 {
		return true
	}
	age, ok := r.settings.Control.ConfirmedAge()
	return ok && age < r.settings.KeyLease
}

// knownSince reports whether all that was accepted before a time is known.
func (r *Relayer) knownSince(at time.Time) bool {
	if r.settings.Control == nil {
		return true
	}
	age, ok := r.settings.Control.ConfirmedAge()
	return ok && age < r.settings.Now().Sub(at)
}

// identify finds the route, and the workspace by the caller's key. A key that is not known
// may be in force elsewhere already: it is refused on knowledge that is younger than the
// call.
func (j *job) identify() error {
	r := j.relayer
	ctx, cancel := context.WithTimeout(j.ctx, knowledgeWait)
	defer cancel()
	for {
		routing := r.Routing()
		if j.route = routing.Match(j.call.Host, j.call.Path); j.route == nil {
			return j.refuse(http.StatusNotFound, "no route", 0)
		}
		j.service = routing.Service(j.route.Pick(r.draw()))
		if !routing.Keyed || j.route.Public {
			return nil
		}
		j.workspace, j.number = routing.Workspace(j.call.Key), routing.Number
		switch {
		case j.workspace != nil && r.keysKnown():
			return nil
		case j.workspace == nil && r.knownSince(j.arrived):
			return j.refuse(http.StatusUnauthorized, "unknown key", 0)
		case r.settings.Control == nil || !r.settings.Control.AwaitReport(ctx):
			return j.refuse(http.StatusServiceUnavailable, "what is known of keys is too old", elsewhereAfter)
		}
	}
}

// barred returns why the call may not be handed over any more, or nil. Its key may have
// been taken away while the call waited or this host stood still.
func (j *job) barred() *bar {
	if j.workspace == nil {
		return nil
	}
	r := j.relayer
	routing := r.Routing()
	route := routing.Match(j.call.Host, j.call.Path)
	switch {
	case !routing.Keyed || route != nil && route.Public:
		return nil
	case routing.Workspace(j.call.Key) == nil:
		return &bar{status: http.StatusUnauthorized, reason: "the key was taken away"}
	case !r.keysKnown():
		return &bar{status: http.StatusServiceUnavailable, reason: "what is known of keys is too old", after: elsewhereAfter}
	}
	return nil
}

// refuseBarred answers a call that may not go on.
func (j *job) refuseBarred(b *bar) {
	if j.mayHaveRun || j.began {
		j.exhausted(b.reason)
		return
	}
	_ = j.refuse(b.status, b.reason, b.after)
}

// workspaceName returns the name of the caller's workspace; empty where it needs none.
func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// priority returns the call's rank, 0 first: the workspace's, or else the route's.
func (j *job) priority() int {
	if j.workspace != nil && j.workspace.Ranked {
		return j.workspace.Priority
	}
	return j.route.Priority
}

// tokens returns the call's tokens, of prompt and answer together, and -1 where the caller
// gave none.
func (c *Call) tokens() int {
	if !c.Counted {
		return -1
	}
	return c.PromptTokens + c.AnswerTokens
}

// caller tells callers apart: by workspace, or by what they bring where no key is needed.
func (j *job) caller() string {
	if j.workspace == nil && j.call.Key != (tracker.KeyDigest{}) {
		return string(j.call.Key[:])
	}
	return j.workspaceName()
}
