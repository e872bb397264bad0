package permitter

import "time"

// Departures records which companions ceased to be members recently. A new leader
// counts them among those that may hold a permit of its predecessor.
type Departures struct {
	// Expiry is the lifetime of a permit.
	Expiry time.Duration

	// observedSince is the time since which every departure has been recorded.
	observedSince time.Time
	departedAt    map[string]time.Time
}

// Reset discards all records at now. Earlier departures may have gone unobserved.
func (d *Departures) Reset(now time.Time) {
	d.observedSince = now
	d.departedAt = make(map[string]time.Time)
}

// Record records that a companion's membership was observed to end at now, which must
// not be earlier than its actual end.
func (d *Departures) Record(now time.Time, companion string) {
	for name, at := range d.departedAt {
		if now.Sub(at) >= d.Expiry {
			delete(d.departedAt, name)
		}
	}
	d.departedAt[companion] = now
}

// Holders returns the members and the companions that left within the lifetime of a
// permit. It returns false if others may have left unobserved.
func (d *Departures) Holders(now time.Time, members []string) ([]string, bool) {
	if now.Sub(d.observedSince) < d.Expiry {
		return nil, false
	}
	holders := append([]string{}, members...)
	for name, at := range d.departedAt {
		if now.Sub(at) < d.Expiry {
			holders = append(holders, name)
		}
	}
	return holders, true
}
