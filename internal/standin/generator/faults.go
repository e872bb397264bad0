package generator

import (
	"encoding/json"
	"net/http"
)

// PathFaults takes a Faults in JSON, PathRecord gives the Record.
const (
	PathFaults = "/v1/faults"
	PathRecord = "/v1/record"
)

// Faults are what goes wrong at an engine. The zero value means nothing does.
// Restart and Silence act once; the others stay until replaced.
type Faults struct {
	// FailLoads is the number of next loads that fail.
	FailLoads int
	// LoadFailure is the probability that a load fails.
	LoadFailure float64
	// Frozen makes the engine accept requests and neither work nor answer. What it
	// accepted goes on when it thaws, also where the sender has left.
	Frozen bool
	// Slowdown multiplies the time of steps where it is above 0.
	Slowdown float64
	// DropStreams is the number of next streams whose connection is cut after
	// DropAfter events.
	DropStreams int
	DropAfter   int
	// RefuseGeneration answers all generation requests 503.
	RefuseGeneration bool
	// Fencing overrides Settings.ChecksFencing.
	Fencing Fencing

	// Restart drops everything and cuts all connections, as a restarted process.
	Restart bool
	// Silence makes all present connections deliver nothing more either way, while
	// new ones work.
	Silence bool
}

// Inject replaces the faults in force and carries out those that act once.
func (e *Engine) Inject(f Faults) { e.inject(f, nil) }

// inject spares the connection, over which the fault was ordered.
func (e *Engine) inject(f Faults, spared *connection) {
	e.mu.Lock()
	restart, silence := f.Restart, f.Silence
	f.Restart, f.Silence = false, false
	e.faults = f
	e.freeze(f.Frozen)
	e.mu.Unlock()
	e.poke()
	if restart {
		e.restart(spared)
	}
	if silence {
		e.conns.silence(spared)
	}
}

// freeze closes or opens the gate. It needs mu.
func (e *Engine) freeze(frozen bool) {
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

// awaitThaw waits while the engine is frozen. It returns false if the engine closed.
func (e *Engine) awaitThaw() bool {
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
	spared, _ := r.Context().Value(connectionKey{}).(*connection)
	e.inject(f, spared)
	writeJSON(w, f)
}

// checksFencing needs mu.
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
