package loader

import "time"

// Action is something that the owner of a Table must do: one of PermitAction,
// WithdrawAction, ReturnPermitAction, LoadAction, UnloadAction, ReadyAction, FailAction,
// LostAction, ReadStateAction and FencedAction.
type Action interface{ action() }

// PermitAction asks for a permit to load from the weight store. The owner calls
// Permitted or PermitDenied once with its outcome.
type PermitAction struct {
	Version   string
	Workspace string
	Share     int
	// Waiters is the number of requests that wait for the version; 0 for a
	// prefetch, which yields to all others.
	Waiters int
	// Oldest is the time since when the first of them waits.
	Oldest time.Time
}

// WithdrawAction takes back the request for a permit which no call waits for any
// more, or which was made for a prefetch that a call now waits for. The owner
// calls Withdrawn, unless the request's outcome came first.
type WithdrawAction struct{ Version string }

// ReturnPermitAction gives a permit back without a load.
type ReturnPermitAction struct{ Version string }

// LoadAction orders the engine to load a version, under the permit that was
// granted for it. The owner calls Loaded once with its outcome.
type LoadAction struct {
	Fence   uint64
	Version string
	Source  string
}

// UnloadAction orders the engine to drop a version. The owner calls Unloaded
// once with its outcome.
type UnloadAction struct {
	Fence   uint64
	Version string
}

// ReadyAction tells that requests which wait for the version can now pin it.
type ReadyAction struct{ Version string }

// FailAction tells that a waiting request won't get its version now. It has not
// run.
type FailAction struct {
	Request string
	Version string
	// RetryAfter is the time after which a load will be tried again.
	RetryAfter time.Duration
	Cause      string
}

// LostAction tells that the engine under a pinned request restarted. The
// request's pin has ended; the request may have run.
type LostAction struct{ Request string }

// ReadStateAction asks the owner to read the engine's state and to call Observe
// with it, because the outcome of an order is unknown.
type ReadStateAction struct{}

// FencedAction tells that the engine has obeyed a later giver of orders. The
// owner must not go on under its present membership.
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
