package generator

import (
	"encoding/json"
	"net/http"
)

// PathFaults accepts a Faults in JSON by POST; PathRecord returns the Record by GET.
const (
	PathFaults = "/v1/faults"
	PathRecord = "/v1/record"
)

// Faults are the faults to inject into an engine; the zero value injects none. Restart
// and Silence act once, the others stay active until they are replaced.
type Faults struct {
	// FailLoads is the number of following loads that fail.
	FailLoads int
	// LoadFailure is the probability that a load fails.
	LoadFailure float64
	// Frozen makes the engine receive requests without processing or answering them.
	// They are processed after the thaw, even if the client has disconnected.
	Frozen bool
	// Slowdown multiplies the duration of steps if it is above 0.
	Slowdown float64
	// DropStreams is the number of following streams whose connection is cut after
	// DropAfter events.
	DropStreams int
	DropAfter   int
	// RefuseGeneration answers all generation requests with status 503.
	RefuseGeneration bool
	// RequestLimit, if positive, is the limit of requests per second that answers to
	// generation requests name.
	RequestLimit float64
	// Fencing overrides Settings.ChecksFencing.
	Fencing Fencing

	// Restart simulates a restart of the process; see Engine.Restart.
	Restart bool
	// Silence stops delivery on all existing connections in both directions; new ones
	// work.
	Silence bool
}

// Inject replaces the active faults and executes those that act once.
func (e *Engine) Inject(f Faults) { e.inject(f, nil) }

// inject is Inject, but neither cuts nor silences the excepted connection, over which
// the faults were requested; it may be nil.
func (e *Engine) inject(f Faults, except *connection) {
	e.mu.Lock()
	restart, silence := f.Restart, f.Silence
	f.Restart, f.Silence = false, false
	e.faults = f
	e.setFrozen(f.Frozen)
	e.mu.Unlock()
	e.wake()
	if restart {
		e.restart(except)
	}
	if silence {
		e.conns.silence(except)
	}
}

// setFrozen freezes or thaws the engine. The caller holds mu.
func (e *Engine) setFrozen(frozen bool) {
	if frozen == (e.thawed != nil) {
		return
	}
	if frozen {
		e.thawed = make(chan struct{})
		return
	}
	close(e.thawed)
	e.thawed = nil
}

// waitWhileFrozen waits until the engine is not frozen. It returns false if the engine
// has closed.
func (e *Engine) waitWhileFrozen() bool {
	for {
		e.mu.Lock()
		thawed := e.thawed
		e.mu.Unlock()
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-e.context.Done():
			return false
		}
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	requester, _ := r.Context().Value(connectionKey{}).(*connection)
	e.inject(f, requester)
	writeJSON(w, f)
}

// checksFencing reports whether orders with an outdated fencing number are refused. The
// caller holds mu.
func (e *Engine) checksFencing() bool {
	switch e.faults.Fencing {
	case Honoured:
		return true
	case Ignored:
		return false
	default:
		return e.settings.ChecksFencing
	}
}
