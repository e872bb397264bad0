package demonstrator

import (
	"fmt"
	"sync"

	"github.com/juju/errors"
)

// FaultPromise is a promise that can only be checked while processes or
// connections fail. The driver checks further promises for each call.
type FaultPromise int

// The promises, in the order of reports.
const (
	// StopCutsNothing: a planned stop interrupts no request in progress.
	StopCutsNothing FaultPromise = iota
	// LeavingGetsNothing: a leaving backend server gets no new request after
	// leavingLimit.
	LeavingGetsNothing
	// OthersGoOn: a stream completes if its own entry, companion and engine keep
	// running, whatever happens to other processes.
	OthersGoOn
	// SilenceKeepsStreams: a stream completes although the connections that carried
	// it were blackholed.
	SilenceKeepsStreams
	// ChangeTakenOnce: a change that an operator sent again after a lost answer took
	// effect exactly once, and no accepted change was lost.
	ChangeTakenOnce
	// NeverReverts: an entry never returns to an earlier state than it showed before,
	// not even after a restart.
	NeverReverts
	// InForceSoon: an accepted change is in force on every ready entry within
	// inForceLimit.
	InForceSoon
	// Recovers: after the fault every process is ready again, a change is accepted
	// and an adapter that was not resident answers, within recoveryLimit.
	Recovers
	// OrdersRise: no engine obeys an order with an older fencing number than an
	// earlier order had. An engine that ignores fencing numbers obeys every order.
	OrdersRise

	faultPromises = iota
)

// MarshalText returns the name of the promise.
func (p FaultPromise) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets the promise from its name.
func (p *FaultPromise) UnmarshalText(text []byte) error {
	for v := range FaultPromise(faultPromises) {
		if v.String() == string(text) {
			*p = v
			return nil
		}
	}
	return errors.NotValidf("promise %q", text)
}

// maxExamples is the largest number of examples retained for a broken promise, and
// of errors retained for a fault.
const maxExamples = 5

// FaultPromiseFigures counts how often a promise was checked and broken.
type FaultPromiseFigures struct {
	Promise  FaultPromise
	Tried    int64
	Broken   int64
	Examples []string `json:",omitempty"`
}

// findings counts the checks of promises during one fault. It is safe for
// concurrent use.
type findings struct {
	mu sync.Mutex
	// figures are guarded by mu.
	figures [faultPromises]FaultPromiseFigures
}

func newFindings() *findings {
	l := &findings{}
	for p := range l.figures {
		l.figures[p].Promise = FaultPromise(p)
	}
	return l
}

// check records one check of a promise and, if it failed, the formatted example.
func (l *findings) check(p FaultPromise, held bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.figures[p]
	f.Tried++
	if held {
		return
	}
	f.Broken++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// checkMany records several checks of one promise with one example.
func (l *findings) checkMany(p FaultPromise, tried, broken int64, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.figures[p]
	f.Tried += tried
	f.Broken += broken
	if broken > 0 {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// tried returns the figures of the promises that were checked.
func (l *findings) tried() []FaultPromiseFigures {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []FaultPromiseFigures
	for _, f := range l.figures {
		if f.Tried > 0 {
			f.Examples = append([]string(nil), f.Examples...)
			found = append(found, f)
		}
	}
	return found
}
