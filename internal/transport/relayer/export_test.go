package relayer

import (
	"sync"
	"time"
)

// MarkSilent does what the relayer does once an engine's host has been silent for
// longer than any attempt there has lasted.
func (r *Relayer) MarkSilent(service, name string) {
	now := r.settings.Now().Add(time.Hour)
	r.settings.Placer.Suspect(service, name, now)
	r.abandon(now, name)
}

// WatchConcurrently has the companion of the first member of a service watched again and
// again, while it is asked as often whether it tells its state.
func (r *Relayer) WatchConcurrently(service string, times int) {
	m := r.settings.View().Members(service)[0]
	var both sync.WaitGroup
	both.Go(func() {
		for range times {
			r.watch(m)
		}
	})
	both.Go(func() {
		for range times {
			r.subscribed(m)
		}
	})
	both.Wait()
}
