package rationer

import "time"

// timeWeight is the weight of the latest observation: after ten, nine tenths of the mean are
// from these, so that it follows a store that is slow for a second.
const timeWeight = 0.2

// Times are the smoothed observed times of one backend server. The zero value is ready for
// use.
type Times struct{ load, hold time.Duration }

// RecordLoad records the duration of a load that has succeeded.
func (t *Times) RecordLoad(d time.Duration) { t.load = smooth(t.load, d) }

// RecordHold records for how long requests have used a slot without a pause.
func (t *Times) RecordHold(d time.Duration) { t.hold = smooth(t.hold, d) }

// Load returns the mean duration of a load, or assumed if none was observed.
func (t *Times) Load(assumed time.Duration) time.Duration {
	if t.load == 0 {
		return assumed
	}
	return t.load
}

// Hold returns the mean time for which requests use a slot, or 0 if none was observed.
func (t *Times) Hold() time.Duration { return t.hold }

func smooth(mean, d time.Duration) time.Duration {
	d = max(d, 1)
	if mean == 0 {
		return d
	}
	return mean + time.Duration(timeWeight*float64(d-mean))
}
