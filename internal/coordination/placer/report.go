package placer

import "time"

// Minimum time between two reports of one engine, per entry that receives them. Entries
// in the engine's own failure domain send it most of its calls and need fresher state
// than the others.
//
// The limits take effect in large deployments. With 68 entries each updated within 80
// ms, every companion sent 800 messages per second, and every entry received as many
// from 117 companions. With these limits a companion sends at most 100 reports per
// second to its own failure domain and 200 to the others. In a simulation of that
// deployment 0.94 of the calls then met their target, the same share as without limits;
// at 50 reports per second to the other failure domains it was 0.91.
const (
	sameDomainIntervalPerEntry  = 10 * time.Millisecond
	otherDomainIntervalPerEntry = 5 * time.Millisecond
)

// ReportInterval returns the interval between two reports of an engine to the given
// number of entries, which are either all in its own failure domain or all in others.
// The interval is at least minimum.
func ReportInterval(minimum time.Duration, entries int, sameDomain bool) time.Duration {
	if sameDomain {
		return max(minimum, time.Duration(entries)*sameDomainIntervalPerEntry)
	}
	return max(minimum, time.Duration(entries)*otherDomainIntervalPerEntry)
}

// maxExcessWait is the wait in excess of the expected one from which a call is better
// redirected. It is longer than a load, so that a call stays when its adapter has just
// been evicted, and shorter than the wait for a slot or for two concurrent loads.
const maxExcessWait = 350 * time.Millisecond

// CheckExpectedWait returns how long a call would wait for its adapter, for the preceding
// prompts and for its turn under the engine's limit of requests, given the engine's current
// state, and reports whether that exceeds the wait the entry expected by more than maxExcessWait. State reaches entries in
// other failure domains late, and a call that finds all slots in use waits most of a
// second, in which time its caller may disconnect.
func CheckExpectedWait(s *EngineState, adapter string, version uint64, turn, expected time.Duration) (wait time.Duration, exceeds bool) {
	b := backend{
		state: *s, reportedAt: time.Unix(1, 0),
		adapters: make(map[string]AdapterState, len(s.Adapters)), recent: make(map[string]struct{}, len(s.Recent)),
	}
	for _, a := range s.Adapters {
		b.adapters[a.Name] = a
	}
	addBounded(b.recent, s.Recent)
	defaults := Settings{}.withDefaults()
	wait = max(turn, b.adapterWait(adapter, version, &defaults)) + time.Duration(s.BacklogMillis)*time.Millisecond
	return wait, wait >= expected+maxExcessWait
}

// CorrectWait raises the backlog of the chosen engine to the wait that the engine
// itself reported for the call, so that further calls avoid it until its next report.
func (p *Placer) CorrectWait(now time.Time, choice *Choice, wait time.Duration) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	if until := now.Add(wait); b.backlogUntil.Before(until) {
		b.backlogUntil = until
	}
}
