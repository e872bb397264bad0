package modeler

import (
	"slices"
	"time"
)

// KindResult contains the numbers of calls of one kind by outcome. Abandoned calls ended without
// an answer, since the caller disconnected or all hosts lost power. Away is the number of sends
// to another failure domain.
type KindResult struct {
	Calls, InTime, Late, Refused, Abandoned, Away int
}

// Result is the result of one simulation.
type Result struct {
	Kinds map[string]*KindResult
	// First and Copies are numbers of loads from the store: the first load of each adapter
	// since the last start of all hosts, and all further ones. Warm is the number of loads
	// from engines' own memory.
	First, Copies, Warm int
	// TurnedAway is the number of sends that a plain service rejected.
	TurnedAway int
	// SentBack is the number of calls that engines sent back to their entries.
	SentBack int
	// Reports is the number of state reports that entries received.
	Reports int
	// Ended is the number of incarnations of backend servers that the crash request ended.
	// Repeated is the number of its sends that reached a backend server after all entries
	// must have quarantined it.
	Ended, Repeated int
	// Quarantined is the number of refusals of the crash request by quarantine, and Innocent
	// the number of refusals of other requests.
	Quarantined, Innocent int
	// LimitedMost is the largest number of requests in limitWindow at a backend server that
	// limits requests, from entries to which it has named the limit limitKnownAfter before.
	// LimitedUse is the number of all requests at such backend servers as a share of what the
	// limits allow.
	LimitedMost int
	LimitedUse  float64
	// windows contains the windows by index; a call belongs to that of its first attempt.
	windows map[int]*window
}

// window contains the number of calls and the sum of their credits.
type window struct{ calls, earned float64 }

const (
	// windowTime is the length of a window. lateCredit is the credit of a late answer, where
	// an answer in time has 1.
	windowTime = 2 * time.Second
	lateCredit = 0.3
	// worstWindows is the number of windows that Worst averages.
	worstWindows = 2
)

// total returns the sums over all kinds.
func (r *Result) total() KindResult {
	var sum KindResult
	for _, k := range r.Kinds {
		sum.Calls += k.Calls
		sum.InTime += k.InTime
		sum.Late += k.Late
		sum.Refused += k.Refused
		sum.Abandoned += k.Abandoned
		sum.Away += k.Away
	}
	return sum
}

// InTime returns the share of calls answered in time.
func (r *Result) InTime() float64 { k := r.total(); return share(k.InTime, k.Calls) }

// Late returns the share of calls answered late.
func (r *Result) Late() float64 { k := r.total(); return share(k.Late, k.Calls) }

// Lost returns the share of calls that were refused or abandoned.
func (r *Result) Lost() float64 { k := r.total(); return share(k.Refused+k.Abandoned, k.Calls) }

// Away returns the share of calls sent to another failure domain. A call sent several times
// may count several times.
func (r *Result) Away() float64 { k := r.total(); return share(k.Away, k.Calls) }

// Worst returns the mean credit per call in the two windows in which it is lowest.
func (r *Result) Worst() float64 {
	var shares []float64
	for _, w := range r.windows {
		if w.calls > 0 {
			shares = append(shares, w.earned/w.calls)
		}
	}
	slices.Sort(shares)
	shares = shares[:min(len(shares), worstWindows)]
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	return sum / max(1, float64(len(shares)))
}

func share(n, of int) float64 { return float64(n) / max(1, float64(of)) }
