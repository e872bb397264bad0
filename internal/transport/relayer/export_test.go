package relayer

import "time"

// FallSilent does what the relayer does once an engine's host has been silent for
// longer than any attempt there has lasted.
func (r *Relayer) FallSilent(service, name string) {
	now := r.settings.Now().Add(time.Hour)
	r.settings.Placer.Suspect(service, name, now)
	r.leave(now, name)
}
