package rationer

import "time"

// timeWeight is the weight of the latest observation: after ten, nine tenths of the mean are
// from these, so that it follows a store that is slow for a second.
const timeWeight = 0.2

// Times are the smoothed observed times of one backend server. The zero value is ready for
// use.
type Times struct{ load, hold, use time.Duration }

// RecordLoad records the duration of a load that has succeeded.
func (t *Times) RecordLoad(d time.Duration) { t.load = smooth(t.load, d) }

// RecordHold records for how long requests have used a slot without a pause.
func (t *Times) RecordHold(d time.Duration) { t.hold = smooth(t.hold, d) }

// RecordUse records the duration of a request.
func (t *Times) RecordUse(d time.Duration) { t.use = smooth(t.use, d) }

// Load returns the mean duration of a load, or assumed if none was observed.
func (t *Times) Load(assumed time.Duration) time.Duration {
	if t.load == 0 {
		return assumed
	}
	return t.load
}

// Hold returns the mean time for which requests use a slot, or 0 if none was observed. Where
// requests wait, a slot takes no new ones after closeAfter, so that it is used for no longer
// than that and a request.
func (t *Times) Hold(closeAfter time.Duration) time.Duration {
	return min(t.hold, closeAfter+t.use)
}

func smooth(mean, d time.Duration) time.Duration {
	d = max(d, 1)
	if mean == 0 {
		return d
	}
	return mean + time.Duration(timeWeight*float64(d-mean))
}
