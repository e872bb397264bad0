package relayer

import (
	"context"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// controlReplyTimeout is how long a call waits for a control host's reply: some round
// trips. After that the caller is better served by another entry.
const controlReplyTimeout = 300 * time.Millisecond

// rejection is the reason for which a call may not proceed.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// KeysTrusted reports whether calls with a key may be admitted: the known keys are
// recent enough, or no key is needed.
func (r *Relayer) KeysTrusted() bool {
	v := r.settings.View().Routing
	return v == nil || !v.Keyed || r.keysFresh()
}

// keysFresh reports whether the age of the known keys is within their lease.
func (r *Relayer) keysFresh() bool {
	if r.settings.Control == nil || r.settings.KeyLease <= 0 {
		return true
	}
	age, ok := r.settings.Control.ConfirmedAge()
	return ok && age < r.settings.KeyLease
}

// stateNewerThan reports whether everything that was accepted before the given time is
// known.
func (r *Relayer) stateNewerThan(at time.Time) bool {
	if r.settings.Control == nil {
		return true
	}
	age, ok := r.settings.Control.ConfirmedAge()
	return ok && age < r.settings.Now().Sub(at)
}

// identify finds the route, and the workspace of the caller's key. A route or a key that
// is unknown here may already be in force at another entry: it is refused only based on
// state that is newer than the call.
func (j *job) identify() error {
	r := j.relayer
	ctx, cancel := context.WithTimeout(j.ctx, controlReplyTimeout)
	defer cancel()
	for {
		routing := r.Routing()
		if j.route = routing.Match(j.call.Host, j.call.Path); j.route == nil {
			switch {
			case r.stateNewerThan(j.arrived):
				return j.refuse(http.StatusNotFound, reasonNoRoute, 0)
			case !r.settings.Control.AwaitReport(ctx):
				return j.refuse(http.StatusServiceUnavailable, "what is known of routes is too old", retryElsewhereDelay)
			}
			continue
		}
		j.service = routing.Service(j.route.Pick(r.draw()))
		if !routing.Keyed || j.route.Public {
			return nil
		}
		j.workspace, j.number = routing.Workspace(j.call.Key), routing.Number
		switch {
		case j.workspace != nil && r.keysFresh():
			return nil
		case j.workspace == nil && r.stateNewerThan(j.arrived):
			return j.refuse(http.StatusUnauthorized, "unknown key", 0)
		case r.settings.Control == nil || !r.settings.Control.AwaitReport(ctx):
			return j.refuse(http.StatusServiceUnavailable, "what is known of keys is too old", retryElsewhereDelay)
		}
	}
}

// checkKey returns why the call may not be sent any more, or nil if it may. Its key may
// have been revoked while the call waited or this host was stalled.
func (j *job) checkKey() *rejection {
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
		return &rejection{status: http.StatusUnauthorized, reason: "the key was taken away"}
	case !r.keysFresh():
		return &rejection{status: http.StatusServiceUnavailable, reason: "what is known of keys is too old", retryAfter: retryElsewhereDelay}
	}
	return nil
}

// refuseRejected answers a call that may not proceed.
func (j *job) refuseRejected(b *rejection) {
	if j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(b.reason)
		return
	}
	_ = j.refuse(b.status, b.reason, b.retryAfter)
}

// workspaceName returns the name of the caller's workspace, or "" if there is none.
func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// priority returns the priority of the call, where 0 comes first: that of the workspace
// if it has one, or else that of the route.
func (j *job) priority() int {
	if j.workspace != nil && j.workspace.HasPriority {
		return j.workspace.Priority
	}
	return j.route.Priority
}

// tokens returns the sum of prompt and answer tokens, or -1 if the caller did not
// specify them.
func (c *Call) tokens() int {
	if !c.TokensKnown {
		return -1
	}
	return c.PromptTokens + c.AnswerTokens
}

// callerID identifies the caller: by workspace, or by the key that it sent if no key is
// needed.
func (j *job) callerID() string {
	if j.workspace == nil && j.call.Key != (tracker.KeyDigest{}) {
		return string(j.call.Key[:])
	}
	return j.workspaceName()
}
