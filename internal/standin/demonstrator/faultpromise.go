package demonstrator

import (
	"fmt"
	"sync"

	"github.com/juju/errors"
)

// FaultPromise is a promise that only shows where processes come and go. Those
// that the driver checks come on top.
type FaultPromise int

// The promises, in the order of reports.
const (
	// StopCutsNothing: a planned stop cuts off no request in progress.
	StopCutsNothing FaultPromise = iota
	// LeavingGetsNothing: a leaving backend server gets nothing new after
	// leavingLimit.
	LeavingGetsNothing
	// OthersGoOn: a stream goes on to its end whose entry, companion and engine
	// live, whatever happens to others.
	OthersGoOn
	// SilenceKeepsStreams: a stream goes on to its end over connections that went
	// silent.
	SilenceKeepsStreams
	// ChangeTakenOnce: a change that operators sent again after a lost answer took
	// effect exactly once, and none was lost.
	ChangeTakenOnce
	// NeverReverts: an entry never goes back behind what it showed, over restarts
	// too.
	NeverReverts
	// InForceSoon: an accepted change is in force on every ready entry within
	// inForceLimit.
	InForceSoon
	// Recovers: after the fault every process is ready again, a change is accepted
	// and an adapter that was not resident answers, within recoveryLimit.
	Recovers
	// OrdersRise: no engine obeys an order with an older fencing number than one
	// before it. An engine that ignores fencing numbers obeys whatever it gets.
	OrdersRise

	faultPromises = iota
)

// MarshalText writes the promise by its name.
func (p FaultPromise) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a promise by its name.
func (p *FaultPromise) UnmarshalText(text []byte) error {
	for v := range FaultPromise(faultPromises) {
		if v.String() == string(text) {
			*p = v
			return nil
		}
	}
	return errors.NotValidf("promise %q", text)
}

// maxExamples bounds the details kept of each broken promise.
const maxExamples = 5

// FaultPromiseFigures tell how often a promise was tried and broken.
type FaultPromiseFigures struct {
	Promise  FaultPromise
	Tried    int64
	Broken   int64
	Examples []string `json:",omitempty"`
}

// ledger counts the findings of one fault. It may be used by several goroutines.
type ledger struct {
	mu sync.Mutex
	// figures are guarded by mu.
	figures [faultPromises]FaultPromiseFigures
}

func newLedger() *ledger {
	l := &ledger{}
	for p := range l.figures {
		l.figures[p].Promise = FaultPromise(p)
	}
	return l
}

// check notes that a promise was tried and whether it held.
func (l *ledger) check(p FaultPromise, held bool, format string, args ...any) {
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

// checks notes many findings of one promise at once.
func (l *ledger) checks(p FaultPromise, tried, broken int64, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.figures[p]
	f.Tried += tried
	f.Broken += broken
	if broken > 0 {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// tried returns the figures of the promises that were tried.
func (l *ledger) tried() []FaultPromiseFigures {
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
