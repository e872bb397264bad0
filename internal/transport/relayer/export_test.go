package relayer

import (
	"sync"
	"time"
)

// MarkSilent does what the relayer does when an engine's host has been silent for
// longer than every attempt there has waited.
func (r *Relayer) MarkSilent(service, name string) {
	now := r.settings.Now().Add(time.Hour)
	r.settings.Placer.Suspect(service, name, now)
	r.cancelWaiting(now, name)
}

// WatchConcurrently repeatedly subscribes to the companion of a service's first member,
// and concurrently checks whether it is subscribed.
func (r *Relayer) WatchConcurrently(service string, times int) {
	m := *r.settings.View().Members(service)[0]
	var both sync.WaitGroup
	both.Go(func() {
		for range times {
			r.subscribe(m)
		}
	})
	both.Go(func() {
		for range times {
			r.subscribed(m)
		}
	})
	both.Wait()
}

// IsUnresponsive reports whether a backend server has answered none of its calls for too long.
func (r *Relayer) IsUnresponsive(name string) bool {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	_, unresponsive := r.unresponsive[name]
	return unresponsive
}

// CheckUnresponsive does what each poll does for backend servers without a companion.
func (r *Relayer) CheckUnresponsive() {
	now := r.settings.Now()
	r.suspectUnresponsive(now, now.Add(time.Hour))
}
