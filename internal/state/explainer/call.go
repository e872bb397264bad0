package explainer

//go:generate stringer -type=Cause -linecomment

// Cause tells what most of a call's time went to, or who ended it.
type Cause int

// The causes.
const (
	// CauseNone means that the call was answered in time.
	CauseNone Cause = iota // in time
	// CauseLoad means that it waited for its adapter to be loaded.
	CauseLoad // waited for a load
	// CauseSlot means that it waited for admission while its adapter was not loaded: for
	// a slot, a place, or its engine's model.
	CauseSlot // waited for a slot
	// CauseReading means that its prompt was read late, or slowly.
	CausePrefill // waited for a reading
	// CauseServing means that a plain service took longer than was wanted.
	CauseService // waited for a service
	// CauseTwice means that a second backend server was tried.
	CauseRetried // tried twice
	// CauseLost means that a backend server was lost, or gave no answer.
	CauseBackendLost // a backend server was lost
	// CauseFailed means that a backend server answered with a failure.
	CauseBackendFailed // a backend server failed
	// CauseRefused means that the entry refused it as not run.
	CauseRefused // refused by its entry
	// CausePaused means that the first event came in time, and the caller left later.
	CauseAbandoned // left in the middle
)

// Messages of the lines that tell something of calls and loads.
const (
	messageCall   = "call"
	messageLoaded = "adapter loaded"
	messageBroke  = "sendings broke"
)

// Outcomes in lines of calls.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeLeft     = "left"
)

// slack is what a load may end, in seconds, after the wait for it: lines of two processes
// are written at times of their own.
const slack = 0.05

// explain returns the cause of a call's fate, given the loads of its adapter.
func explain(line *Line, loads []load) Cause {
	first := line.First
	if first <= 0 {
		first = line.Took
	}
	switch {
	case line.Outcome == outcomeAnswered && line.Status >= 500:
		return CauseBackendFailed
	case line.Outcome == outcomeAnswered && (line.Target <= 0 || first <= line.Target):
		return CauseNone
	case line.Outcome == outcomeRefused && line.Status != 502 && line.Status != 504:
		return CauseRefused
	case line.Outcome == outcomeLeft && line.First > 0 && (line.Target <= 0 || line.First <= line.Target):
		return CauseAbandoned
	case line.Waited >= first/2:
		return waitCause(line, loads)
	case line.Outcome != outcomeAnswered && line.Outcome != outcomeLeft:
		return CauseBackendLost
	case len(line.Tried) > 0:
		return CauseRetried
	case line.Adapter == "":
		return CauseService
	default:
		return CausePrefill
	}
}

// waitCause tells a wait for a load from one for a slot.
func waitCause(line *Line, loads []load) Cause {
	arrived := line.At - float64(line.Took)/1000
	for _, d := range loads {
		if d.ended >= arrived && d.ended <= line.At+slack && (d.engine == line.Backend || line.Outcome == outcomeLeft) {
			return CauseLoad
		}
	}
	return CauseSlot
}
