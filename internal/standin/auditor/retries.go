package auditor

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// RetryLimit bounds the retries that arrive at the backend servers of a service within any window:
// Ratio of its requests, plus Slack. The requests are those of that window, of the one before it,
// or of the one half a window before it, whichever has most.
type RetryLimit struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Retries counts the retries of all entries. The first arrival of a request at any backend server
// is none, each further one is. The zero value is empty. It is safe for concurrent use.
type Retries struct {
	mu sync.Mutex
	// services is guarded by mu.
	services map[string]*serviceRetries
}

type serviceRetries struct {
	arrived  map[string]struct{}
	requests []time.Time
	retries  []time.Time
}

// service returns the counts of a service. The caller holds mu.
func (r *Retries) service(name string) *serviceRetries {
	if r.services == nil {
		r.services = make(map[string]*serviceRetries)
	}
	s := r.services[name]
	if s == nil {
		s = &serviceRetries{arrived: make(map[string]struct{})}
		r.services[name] = s
	}
	return s
}

// Request records that a caller sends a request for a service.
func (r *Retries) Request(at time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.requests = append(s.requests, at)
}

// Arrival records that a backend server of a service has read the request with the given id.
func (r *Retries) Arrival(at time.Time, service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if _, again := s.arrived[id]; again {
		s.retries = append(s.retries, at)
	}
	s.arrived[id] = struct{}{}
}

// Retry records that a retry has arrived at a backend server of a service.
func (r *Retries) Retry(at time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.retries = append(s.retries, at)
}

// Window is the window of a service in which the retries exceed their limit most, or come closest
// to it.
type Window struct {
	Service  string
	From     time.Time
	Retries  int
	Requests int
	Allowed  float64
}

// Exceeded reports whether more retries arrived than allowed.
func (w Window) Exceeded() bool { return float64(w.Retries) > w.Allowed }

// String implements fmt.Stringer.
func (w Window) String() string {
	return fmt.Sprintf("%s: %d retries arrive in the window from %s, for %d requests; %.1f are allowed",
		w.Service, w.Retries, w.From.Format("15:04:05.000"), w.Requests, w.Allowed)
}

// Worst returns the worst window of each service that had retries, ordered by service.
func (r *Retries) Worst(l RetryLimit) []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	var worst []Window
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		if len(s.retries) == 0 {
			continue
		}
		slices.SortFunc(s.requests, time.Time.Compare)
		slices.SortFunc(s.retries, time.Time.Compare)
		w := s.worst(l)
		w.Service = name
		worst = append(worst, w)
	}
	return worst
}

// worst returns the worst window of a service. It begins with a retry.
func (s *serviceRetries) worst(l RetryLimit) Window {
	var worst Window
	for i, from := range s.retries {
		w := Window{From: from, Retries: within(s.retries, from, l.Window)}
		for _, shift := range []time.Duration{0, l.Window / 2, l.Window} {
			w.Requests = max(w.Requests, within(s.requests, from.Add(-shift), l.Window))
		}
		w.Allowed = l.Ratio*float64(w.Requests) + l.Slack
		if i == 0 || float64(w.Retries)-w.Allowed > float64(worst.Retries)-worst.Allowed {
			worst = w
		}
	}
	return worst
}

// within returns how many of the times, in ascending order, are in a window.
func within(times []time.Time, from time.Time, window time.Duration) int {
	after := func(t time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(t) })
	}
	return after(from.Add(window)) - after(from)
}
