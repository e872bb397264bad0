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

// unknownModel returns the fault for an adapter that does not exist, and for one that
// belongs to another workspace, so that a caller learns nothing about the adapters of
// others.
func unknownModel(name string) *translator.Fault {
	f := translator.NewFault(http.StatusNotFound, translator.CodeModelNotFound, "there is no model %.300q for this key", name)
	f.Param = "model"
	return f
}

// resolve finds the version for the requested name.
func (x *exchange) resolve(name translator.Name) (indexer.Target, *translator.Fault) {
	if name.Workspace != x.holder.Workspace {
		return indexer.Target{}, unknownModel(name.String())
	}
	if name.Version == "" && !x.awaitLease() {
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

// notReady refuses a request that depends on a configuration that is not known to be in
// force: without contact to the control hosts the entry could apply rules that the
// operators have replaced.
func (x *exchange) notReady(what string) *translator.Fault {
	f := translator.NewFault(http.StatusServiceUnavailable, translator.CodeNotReady,
		"this entry has lost the control hosts and can't tell %s", what)
	f.RetryAfter = x.entry.random.jitter(2 * time.Second)
	return f
}

// awaitLease reports whether the known configuration is in force. A request with an
// idempotency key waits for that, for as long as it would wait for its claim.
//
// Control hosts recover from a change of leader within a second or two. If a request
// with a key were refused meanwhile, the outcome would have to be Unknown, since nobody
// could be asked whether the key has run.
func (x *exchange) awaitLease() bool {
	e := x.entry
	if e.settings.Control.LeaseValid() || x.r.Header.Get(translator.HeaderIdempotencyKey) == "" {
		return e.settings.Control.LeaseValid()
	}
	timeout := claimTimeout
	if given, err := translator.Deadline(x.r.Header); err == nil && given > 0 {
		timeout = min(timeout, given)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	for pauser.Pause(ctx, leasePollInterval) {
		if e.settings.Control.LeaseValid() {
			return true
		}
	}
	return false
}

// leasePollInterval is the time between two checks for a valid lease.
const leasePollInterval = 20 * time.Millisecond

// rule returns the priority rule of a call.
func (x *exchange) rule(adapter string) (storer.PriorityRuleSpec, *translator.Fault) {
	rule, found := x.entry.settings.Index.Rule(x.holder.Workspace, adapter, x.holder.Name)
	if found && !x.awaitLease() {
		return rule, x.notReady("which priority rule holds")
	}
	return rule, nil
}

// deadline returns the deadline of the request: that of the caller, of the priority
// rule or of the entry, but never later than that of the entry.
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
