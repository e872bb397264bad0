package permitter

import "time"

// Departures remembers which companions stopped being members lately. A new
// leader counts them among those that may hold a permit of its predecessor.
type Departures struct {
	// Expiry is the life of a permit.
	Expiry time.Duration

	// watched is the time from which every departure was noted.
	observedSince time.Time
	departedAt    map[string]time.Time
}

// Reset begins anew at now: departures before it may have gone unseen.
func (d *Departures) Reset(now time.Time) {
	d.observedSince = now
	d.departedAt = make(map[string]time.Time)
}

// Record takes in that a companion's membership was seen to end at now. It is
// never seen earlier than it ended.
func (d *Departures) Record(now time.Time, companion string) {
	for name, at := range d.departedAt {
		if now.Sub(at) >= d.Expiry {
			delete(d.departedAt, name)
		}
	}
	d.departedAt[companion] = now
}

// Holders returns the members and those that left within the life of a permit,
// and false where others may have left unseen.
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
