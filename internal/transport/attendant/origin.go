package attendant

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/continuer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// recordOrigin stores the origin of an attempt.
func (a *Attendant) recordOrigin(m messenger.RecordOrigin) {
	now := a.settings.Now()
	o := continuer.Origin{
		Service: m.Service, Software: m.Software, Request: m.Request,
		Expires: now.Add(time.Duration(m.KeepMillis) * time.Millisecond),
	}
	if !a.origins.Put(now, m.Attempt, o) {
		a.metrics.originsRefused.Inc()
	}
}

// findOrigin looks up the origin of an attempt.
func (a *Attendant) findOrigin(m messenger.FindOrigin) messenger.FoundOrigin {
	o, known := a.origins.Get(a.settings.Now(), m.Attempt)
	return messenger.FoundOrigin{Known: known, Service: o.Service, Software: o.Software}
}
