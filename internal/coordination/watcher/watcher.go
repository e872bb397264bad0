package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Defaults of Settings.
const (
	// DefaultSilentAfter is two and a half heartbeat intervals at the deployed 200 ms:
	// one heartbeat may be lost and another in flight. Calls at a host that has stalled
	// are then redirected about 0.6 s after their arrival, while callers of streams
	// disconnect after two seconds without an event.
	DefaultSilentAfter = 500 * time.Millisecond
	// DefaultInterval is the time between two checks.
	DefaultInterval = 100 * time.Millisecond
)

// lateCheckIntervals is the number of intervals between two checks beyond which this
// process itself is considered to have stalled.
const lateCheckIntervals = 2

// Settings are the options of a Watcher. A field with the zero value takes its
// documented default.
type Settings struct {
	// SilentAfter is the time without contact after which a host counts as silent.
	SilentAfter time.Duration
	// Interval is the time between two checks.
	Interval time.Duration
}

// Watcher records the last contact with each host. It is not safe for concurrent use.
type Watcher struct {
	settings Settings
	// lastContact is the time of the last contact with each host, by name.
	lastContact map[string]time.Time
	// lastCheck is the time of the last call of Check; zero means never.
	lastCheck time.Time
	// trustedFrom is the time from which silence is evidence about other hosts again,
	// after this process has stalled.
	trustedFrom time.Time
}

// NewWatcher returns a watcher without hosts.
func NewWatcher(s Settings) *Watcher {
	s.SilentAfter = cmp.Or(s.SilentAfter, DefaultSilentAfter)
	s.Interval = cmp.Or(s.Interval, DefaultInterval)
	return &Watcher{settings: s, lastContact: make(map[string]time.Time)}
}

// Interval returns the time between two checks.
func (w *Watcher) Interval() time.Duration { return w.settings.Interval }

// RecordContact records a contact with a host at the given time. A time earlier than
// the last contact has no effect.
func (w *Watcher) RecordContact(at time.Time, name string) {
	if at.After(w.lastContact[name]) {
		w.lastContact[name] = at
	}
}

// Retain removes the hosts for which keep returns false.
func (w *Watcher) Retain(keep func(name string) bool) {
	maps.DeleteFunc(w.lastContact, func(name string, _ time.Time) bool { return !keep(name) })
}

// Check returns the names of the silent hosts in sorted order. It returns none while
// this process has itself stalled recently.
func (w *Watcher) Check(now time.Time) []string {
	if !w.lastCheck.IsZero() && now.Sub(w.lastCheck) > lateCheckIntervals*w.settings.Interval {
		w.trustedFrom = now.Add(w.settings.SilentAfter)
	}
	w.lastCheck = now
	var silent []string
	for name := range w.lastContact {
		if w.Silent(now, name) {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Silent reports whether there has been contact with a host before, but not within
// SilentAfter.
func (w *Watcher) Silent(now time.Time, name string) bool {
	lastContact, ok := w.lastContact[name]
	return ok && !now.Before(w.trustedFrom) && now.Sub(lastContact) > w.settings.SilentAfter
}
