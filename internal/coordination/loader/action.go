package loader

import "time"

// Action is an instruction that the owner of a Table must carry out: one of
// PermitAction, WithdrawAction, ReturnPermitAction, LoadAction, UnloadAction,
// ReadyAction, FailAction, LostAction, ReadStateAction and FencedAction.
type Action interface{ action() }

// PermitAction requests a permit to load from the weight store. The owner calls either
// Permitted or PermitDenied once with the outcome.
type PermitAction struct {
	Version   string
	Workspace string
	Share     int
	// Waiters is the number of requests that wait for the version; 0 for a prefetch,
	// which yields to all others.
	Waiters int
	// Oldest is the time at which the longest-waiting of them began to wait.
	Oldest time.Time
}

// WithdrawAction withdraws the request for a permit, either because no call waits for
// the version any more, or because the permit was requested for a prefetch and a call
// now waits. The owner calls Withdrawn unless the outcome of the request arrives first.
type WithdrawAction struct{ Version string }

// ReturnPermitAction returns a permit without a load.
type ReturnPermitAction struct{ Version string }

// LoadAction orders the engine to load a version under the granted permit. The owner
// calls Loaded once with the outcome.
type LoadAction struct {
	Fence   uint64
	Version string
	Source  string
}

// UnloadAction orders the engine to unload a version. The owner calls Unloaded once
// with the outcome.
type UnloadAction struct {
	Fence   uint64
	Version string
}

// ReadyAction reports that requests waiting for the version can now pin it.
type ReadyAction struct{ Version string }

// FailAction reports that a waiting request will not get its version now. The request
// has not run.
type FailAction struct {
	Request string
	Version string
	// RetryAfter is the time until the next load is attempted.
	RetryAfter time.Duration
	Cause      string
}

// LostAction reports that the engine restarted under a pinned request. The pin has
// ended; the request may have run.
type LostAction struct{ Request string }

// ReadStateAction asks the owner to read the engine's state and to pass it to Observe,
// because the outcome of an order is unknown.
type ReadStateAction struct{}

// FencedAction reports that the engine has accepted orders from a later owner. The
// owner must not continue under its current membership.
type FencedAction struct{}

func (PermitAction) action()       {}
func (WithdrawAction) action()     {}
func (ReturnPermitAction) action() {}
func (LoadAction) action()         {}
func (UnloadAction) action()       {}
func (ReadyAction) action()        {}
func (FailAction) action()         {}
func (LostAction) action()         {}
func (ReadStateAction) action()    {}
func (FencedAction) action()       {}
