package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Defaults of Settings.
const (
	// DefaultSilentAfter is two and a half of the users' heartbeats of 200 ms: one
	// may be lost, and one on its way. Calls that wait at a host that stands still
	// then go elsewhere some 0.6 s after they came, where callers of streams leave
	// after two seconds without an event.
	DefaultSilentAfter = 500 * time.Millisecond
	// DefaultInterval is the time between two looks.
	DefaultInterval = 100 * time.Millisecond
)

// lateLook is the time between two looks, in intervals, beyond which it was this
// process that stood still.
const lateLook = 2

// Settings are a Watcher's options. The zero value of a field means its documented
// default.
type Settings struct {
	// SilentAfter is the silence after which a host counts as silent.
	SilentAfter time.Duration
	// Interval is the time between two looks.
	Interval time.Duration
}

// Watcher remembers when each host was last heard of. It is not safe for concurrent
// use.
type Watcher struct {
	settings Settings
	// heard is when each host was last heard of, by name.
	heard map[string]time.Time
	// looked is when Look was called last; zero means never.
	looked time.Time
	// trusted is when silence tells something of other hosts again.
	trusted time.Time
}

// NewWatcher returns a watcher that knows no host.
func NewWatcher(s Settings) *Watcher {
	s.SilentAfter = cmp.Or(s.SilentAfter, DefaultSilentAfter)
	s.Interval = cmp.Or(s.Interval, DefaultInterval)
	return &Watcher{settings: s, heard: make(map[string]time.Time)}
}

// Interval returns the time between two looks.
func (w *Watcher) Interval() time.Duration { return w.settings.Interval }

// RecordContact notes that a host was heard of at a time. An earlier time changes nothing.
func (w *Watcher) RecordContact(at time.Time, name string) {
	if at.After(w.heard[name]) {
		w.heard[name] = at
	}
}

// Retain forgets the hosts that keep does not hold.
func (w *Watcher) Retain(keep func(name string) bool) {
	maps.DeleteFunc(w.heard, func(name string, _ time.Time) bool { return !keep(name) })
}

// Check returns the names of the silent hosts in order; none while this process has
// itself stood still lately.
func (w *Watcher) Check(now time.Time) []string {
	if !w.looked.IsZero() && now.Sub(w.looked) > lateLook*w.settings.Interval {
		w.trusted = now.Add(w.settings.SilentAfter)
	}
	w.looked = now
	var silent []string
	for name := range w.heard {
		if w.Silent(now, name) {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Silent reports whether a host was heard of and has fallen silent since.
func (w *Watcher) Silent(now time.Time, name string) bool {
	heard, ok := w.heard[name]
	return ok && !now.Before(w.trusted) && now.Sub(heard) > w.settings.SilentAfter
}
