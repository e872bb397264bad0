package bucketer

import (
	"math"
	"time"
)

const (
	// retrySlot is the width of the time slots in which expected retries are counted.
	retrySlot = 250 * time.Millisecond
	// maxRetrySlots is the number of slots that are counted. Later retries count in the last slot.
	maxRetrySlots = 32
	// maxRetryShare is the share of its time left for which a caller waits before its only retry.
	maxRetryShare = 1.0 / 3
	// retrySpread is the largest random increase of RetryAfter, as a share of it.
	retrySpread = 0.1
)

// retries holds the units of refused calls that are expected to be retried, by the time at which
// their RetryAfter ends. The units of a slot are assumed to be spread evenly over it.
type retries struct {
	// first is the number of the first slot, counted in units of retrySlot since the Unix epoch.
	first int64
	units []float64
}

// slotAt returns the number of the slot that contains t, and the share of the slot before t.
func slotAt(t time.Time) (slot int64, passed float64) {
	n := t.UnixNano()
	slot = n / int64(retrySlot)
	return slot, float64(n-slot*int64(retrySlot)) / float64(retrySlot)
}

// advance drops the slots that ended before now.
func (r *retries) advance(now time.Time) {
	slot, _ := slotAt(now)
	ended := min(max(0, slot-r.first), int64(len(r.units)))
	r.units = r.units[ended:]
	r.first = max(r.first, slot)
	if len(r.units) == 0 {
		r.units, r.first = nil, slot
	}
}

// addSlot adds units to a slot. Units of an earlier slot than the first are dropped.
func (r *retries) addSlot(slot int64, units float64) {
	i := min(slot-r.first, maxRetrySlots-1)
	if i < 0 {
		return
	}
	for int64(len(r.units)) <= i {
		r.units = append(r.units, 0)
	}
	r.units[i] = max(0, r.units[i]+units)
}

// add adds the units of a call that is expected to be retried at the time due.
func (r *retries) add(now, due time.Time, units float64) {
	r.advance(now)
	slot, _ := slotAt(due)
	r.addSlot(slot, units)
}

// merge adds the units of o, multiplied by factor. Units of slots that r has dropped are ignored.
func (r *retries) merge(o *retries, factor float64) {
	for i, units := range o.units {
		r.addSlot(o.first+int64(i), factor*units)
	}
}

// total returns the units that are expected to be retried after now.
func (r *retries) total(now time.Time) float64 {
	r.advance(now)
	sum := 0.0
	for _, units := range r.units {
		sum += units
	}
	if len(r.units) > 0 {
		_, passed := slotAt(now)
		sum -= passed * r.units[0]
	}
	return sum
}

// encode returns the units that are expected to be retried in each period of retrySlot after now,
// without trailing zeros.
func (r *retries) encode(now time.Time) []float64 {
	r.advance(now)
	_, passed := slotAt(now)
	var periods []float64
	length := 0
	for i, units := range r.units {
		if i+1 < len(r.units) {
			units = (1-passed)*units + passed*r.units[i+1]
		} else {
			units *= 1 - passed
		}
		periods = append(periods, max(0, math.Round(units)))
		if periods[i] > 0 {
			length = i + 1
		}
	}
	return periods[:length]
}

// decode returns the units that another process encoded; its time then is now here. Values that no
// process of this system sends are ignored.
func decode(now time.Time, periods []float64) retries {
	slot, passed := slotAt(now)
	r := retries{first: slot}
	for i, units := range periods[:min(len(periods), maxRetrySlots)] {
		if units > 0 && !math.IsInf(units, 1) {
			r.addSlot(slot+int64(i), (1-passed)*units)
			r.addSlot(slot+int64(i)+1, passed*units)
		}
	}
	return r
}
