package placer

import "time"

// The least times between two states of one engine for each entry that is told. Each
// entry of the engine's own failure domain sends it most of its calls; what the others
// believe may be older.
//
// They bind where many entries are told: 68 of them, told all within 80 ms, cost each
// companion 800 messages a second, and each entry as many from 117 companions. At most
// 100 and 200 states a second leave a companion with these. In the model of that
// deployment 0.94 of the calls are in time so, as where all are told at once; with 50 to
// other failure domains 0.91.
const (
	nearPerEntry = 10 * time.Millisecond
	farPerEntry  = 5 * time.Millisecond
)

// ReportInterval returns the time between two states of an engine that a number of
// entries is told, those of its own failure domain or the others; least is for few.
func ReportInterval(least time.Duration, entries int, near bool) time.Duration {
	if near {
		return max(least, time.Duration(entries)*nearPerEntry)
	}
	return max(least, time.Duration(entries)*farPerEntry)
}

// misledTime is the wait beyond the one expected from which a call had better go
// elsewhere: more than a load, so that a call stays where its adapter has just left its
// slot, and less than the wait for a slot, or for two lanes.
const misledTime = 350 * time.Millisecond

// CheckExpectedWait returns how long a call waits for its adapter and for the prompts before it, by
// an engine's present state, and whether that is much longer than its entry believed.
// Entries of other failure domains know that state late; a call that finds all slots in
// use waits most of a second, and its caller may leave meanwhile.
func CheckExpectedWait(s *EngineState, adapter string, version uint64, believed time.Duration) (wait time.Duration, misled bool) {
	b := backend{
		state: *s, reportedAt: time.Unix(1, 0),
		adapters: make(map[string]AdapterState, len(s.Adapters)), recent: make(map[string]struct{}, len(s.Recent)),
	}
	for _, a := range s.Adapters {
		b.adapters[a.Name] = a
	}
	remember(b.recent, s.Recent)
	defaults := Settings{}.withDefaults()
	wait = b.loading(adapter, version, &defaults) + time.Duration(s.BacklogMillis)*time.Millisecond
	return wait, wait >= believed+misledTime
}

// CorrectWait takes an engine's own word in that a call which was placed there would wait
// for a time: others had better go elsewhere until its next state.
func (p *Placer) CorrectWait(now time.Time, choice *Choice, wait time.Duration) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	if until := now.Add(wait); b.readUntil.Before(until) {
		b.readUntil = until
	}
}
