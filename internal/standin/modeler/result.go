package modeler

import (
	"slices"
	"time"
)

// KindResult counts the calls of one kind.
type KindResult struct {
	Calls, InTime, Late, Refused, Abandoned, Away int
}

// Result is what came of one play.
type Result struct {
	Kinds map[string]*KindResult
	// First and Copies count loads from the store, the first of an adapter since all hosts
	// started and all further ones; Warm counts those from engines' own memory.
	First, Copies, Warm int
	// TurnedAway counts sends that a plain service refused.
	TurnedAway int
	// SentBack counts the calls that an engine had go elsewhere.
	SentBack int
	// Ended counts the lives of backend servers that one request ended, and Repeated its
	// sendings that reached one after all entries must know of it.
	Ended, Repeated int
	// Quarantined counts how often that request was kept from backend servers, and
	// Innocent how often another was.
	Quarantined, Innocent int
	// windows are what was owed and earned by the time of the callers' first asking.
	windows map[int]*window
}

type window struct{ owed, earned float64 }

const (
	// windowTime is the length of a window, and lateCredit what a late answer is worth
	// beside one in time.
	windowTime = 2 * time.Second
	lateCredit = 0.3
	// worstWindows is the number of windows that Worst is the mean of.
	worstWindows = 2
)

// all sums the kinds up.
func (r *Result) all() KindResult {
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

// InTime returns the share of the calls that were in time.
func (r *Result) InTime() float64 { k := r.all(); return share(k.InTime, k.Calls) }

// Late returns the share of the calls that were late.
func (r *Result) Late() float64 { k := r.all(); return share(k.Late, k.Calls) }

// Lost returns the share of the calls that were refused or whose callers left.
func (r *Result) Lost() float64 { k := r.all(); return share(k.Refused+k.Abandoned, k.Calls) }

// Away returns the share of the calls that went to another failure domain.
func (r *Result) Away() float64 { k := r.all(); return share(k.Away, k.Calls) }

// Worst returns what was earned of what was owed in the two worst windows.
func (r *Result) Worst() float64 {
	var shares []float64
	for _, w := range r.windows {
		if w.owed > 0 {
			shares = append(shares, w.earned/w.owed)
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
