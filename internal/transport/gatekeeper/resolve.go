package gatekeeper

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// unknownModel is the answer for an adapter that doesn't exist and for one that
// belongs to another workspace alike, so that a caller learns nothing about
// others' adapters.
func unknownModel(name string) *translator.Fault {
	f := translator.NewFault(http.StatusNotFound, translator.CodeModelNotFound, "there is no model %.300q for this key", name)
	f.Param = "model"
	return f
}

// resolve finds the version that the caller means.
func (x *exchange) resolve(name translator.Name) (indexer.Target, *translator.Fault) {
	if name.Workspace != x.holder.Workspace {
		return indexer.Target{}, unknownModel(name.String())
	}
	if name.Version == "" && !x.leased() {
		return indexer.Target{}, x.notReady("which version is current")
	}
	t, err := x.entry.settings.Index.Resolve(name.Workspace, name.Adapter, name.Version)
	switch {
	case err == nil:
		return t, nil
	case errors.Is(err, indexer.ErrNoCurrent):
		f := translator.NewFault(http.StatusNotFound, translator.CodeNoCurrentVersion,
			"model %q has no current version; name one as %s@VERSION", name, name)
		f.Param = "model"
		return t, f
	default:
		return t, unknownModel(name.String())
	}
}

// notReady refuses what depends on a configuration that the entry can't know to
// be in force: without contact to the control hosts it would go by rules that
// the operators may have replaced.
func (x *exchange) notReady(what string) *translator.Fault {
	f := translator.NewFault(http.StatusServiceUnavailable, translator.CodeNotReady,
		"this entry has lost the control hosts and can't tell %s", what)
	f.RetryAfter = x.entry.random.jitter(2 * time.Second)
	return f
}

// leased reports whether the entry may go by the rules that it knows. A request with an
// idempotency key waits for that, as long as one waits for its claim.
//
// Control hosts that change their leader are back in a second or two. Refused meanwhile, a
// caller with a key could only be told that the outcome is unknown, since nobody can be
// asked whether the key has run.
func (x *exchange) leased() bool {
	e := x.entry
	if e.settings.Control.LeaseValid() || x.r.Header.Get(translator.HeaderIdempotencyKey) == "" {
		return e.settings.Control.LeaseValid()
	}
	patience := claimPatience
	if given, err := translator.Deadline(x.r.Header); err == nil && given > 0 {
		patience = min(patience, given)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), patience)
	defer cancel()
	for pauser.Pause(ctx, leasePoll) {
		if e.settings.Control.LeaseValid() {
			return true
		}
	}
	return false
}

// leasePoll is the time between two looks whether the lease is back.
const leasePoll = 20 * time.Millisecond

// rule returns the priority rule of a call.
func (x *exchange) rule(adapter string) (storer.PriorityRuleSpec, *translator.Fault) {
	rule, found := x.entry.settings.Index.Rule(x.holder.Workspace, adapter, x.holder.Name)
	if found && !x.leased() {
		return rule, x.notReady("which priority rule holds")
	}
	return rule, nil
}

// deadline returns the end of the time that the request has: the caller's, the
// rule's or the entry's own, never later than the entry's.
func (x *exchange) deadline(rule storer.PriorityRuleSpec) (time.Time, *translator.Fault) {
	longest := time.Duration(x.entry.settings.Entry.RequestTimeout)
	given, err := translator.Deadline(x.r.Header)
	if err != nil {
		return time.Time{}, translator.Malformed(err)
	}
	if given == 0 {
		given = time.Duration(rule.DeadlineMillis) * time.Millisecond
	}
	if given == 0 || given > longest {
		given = longest
	}
	return x.began.Add(given), nil
}
