package explainer

//go:generate stringer -type=Cause -linecomment

// Cause is the reason for a call's latency or failure.
type Cause int

// The causes of a call's latency or failure. Their texts are part of the report.
const (
	// CauseNone means that the call was answered within its target time.
	CauseNone Cause = iota // in time
	// CauseLoad means that the call waited for its adapter to be loaded.
	CauseLoad // waited for a load
	// CauseSlot means that the call waited for admission, but not for a load that ended
	// in the meantime: for an adapter slot, for capacity at the engine, or for the
	// engine's model.
	CauseSlot // waited for a slot
	// CausePrefill means that the prefill of its prompt started late or was slow.
	CausePrefill // waited for a reading
	// CauseService means that a plain service exceeded the target time.
	CauseService // waited for a service
	// CauseGap means that the first event was in time, but a later one was not.
	CauseGap // paused between events
	// CauseRetried means that the call was sent to a second backend server.
	CauseRetried // tried twice
	// CauseBackendLost means that the connection to a backend server was lost, or that it
	// did not answer.
	CauseBackendLost // a backend server was lost
	// CauseBackendFailed means that a backend server answered with a server error.
	CauseBackendFailed // a backend server failed
	// CauseRefused means that the entry refused the call without running it.
	CauseRefused // refused by its entry
	// CauseAbandoned means that the first event was in time, but the caller disconnected
	// before the end of the answer.
	CauseAbandoned // left in the middle
)

// Messages of the log lines that describe calls, loads and broken attempts.
const (
	messageCall          = "call"
	messageAdapterLoaded = "adapter loaded"
	messageAttemptsBroke = "sendings broke"
)

// Values of Line.Outcome in the log lines of calls.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeCallerLeft = "left"
)

// maxLogSkewSeconds is the maximum time by which the log line of a load may be later than
// that of the call that waited for it: two processes write them independently.
const maxLogSkewSeconds = 0.05

// causeOf returns the cause of a call's latency or failure, given the loads of its adapter.
func causeOf(line *Line, loads []load) Cause {
	first := line.First
	if first <= 0 {
		first = line.Took
	}
	switch {
	case line.Outcome == outcomeAnswered && line.Status >= 500:
		return CauseBackendFailed
	case line.Outcome == outcomeAnswered && (line.Target <= 0 || first <= line.Target):
		return gapCause(line)
	case line.Outcome == outcomeRefused && line.Status != 502 && line.Status != 504:
		return CauseRefused
	case line.Outcome == outcomeCallerLeft && line.First > 0 && (line.Target <= 0 || line.First <= line.Target):
		return CauseAbandoned
	case line.Waited >= first/2:
		return waitCause(line, loads)
	case line.Outcome != outcomeAnswered && line.Outcome != outcomeCallerLeft:
		return CauseBackendLost
	case len(line.Tried) > 0:
		return CauseRetried
	case line.Adapter == "":
		return CauseService
	default:
		return CausePrefill
	}
}

// gapCause returns the cause of lateness of a call whose first event was in time.
func gapCause(line *Line) Cause {
	if line.MaxGap > 0 && line.Gap > line.MaxGap {
		return CauseGap
	}
	return CauseNone
}

// waitCause returns the cause of a wait for admission: CauseLoad if a load of the adapter
// ended during the call, and CauseSlot otherwise.
func waitCause(line *Line, loads []load) Cause {
	arrived := line.At - float64(line.Took)/1000
	for _, d := range loads {
		if d.ended >= arrived && d.ended <= line.At+maxLogSkewSeconds && (d.engine == line.Backend || line.Outcome == outcomeCallerLeft) {
			return CauseLoad
		}
	}
	return CauseSlot
}
