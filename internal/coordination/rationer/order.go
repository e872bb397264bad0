package rationer

import (
	"cmp"
	"slices"
	"time"
)

// OldestInterval is the number of grants out of which one goes to the request that has waited
// longest.
const OldestInterval = 4

// Request is a request that waits.
type Request struct {
	ID string
	// Arrival increases with each request that begins to wait.
	Arrival uint64
	// Rank is the priority rank, 0 first; a negative rank goes before all others.
	Rank int
	// Due is when the request must be granted to be answered on time.
	Due time.Time
	// Deadline is when the caller gives up; zero means that it is not known, and the request
	// is never refused.
	Deadline time.Time
	// Prefill is the expected prefill time of the prompt.
	Prefill time.Duration
	// Version is the adapter version that has to be loaded first; empty if none has.
	Version string
}

// InTime reports whether the request can still be answered on time.
func (r *Request) InTime(now time.Time) bool { return now.Before(r.Due) }

// compare orders requests by precedence. Requests that can't be in time keep the order of
// their arrival within a rank.
func compare(now time.Time, a, b *Request) int {
	x, y := a.InTime(now), b.InTime(now)
	switch {
	case x && !y:
		return -1
	case y && !x:
		return 1
	}
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	if c := a.Due.Compare(b.Due); x && c != 0 {
		return c
	}
	return cmp.Compare(a.Arrival, b.Arrival)
}

// First returns the index of the request that gets the next grant, after the given number of
// grants, and whether it is chosen by age ahead of others. It returns -1 if there are no
// requests.
func First(now time.Time, grants uint64, requests []Request) (index int, outOfOrder bool) {
	index, oldest := -1, -1
	for i := range requests {
		if index < 0 || compare(now, &requests[i], &requests[index]) < 0 {
			index = i
		}
		if oldest < 0 || requests[i].Arrival < requests[oldest].Arrival {
			oldest = i
		}
	}
	if byAge(grants) && oldest != index {
		return oldest, true
	}
	return index, false
}

// byAge reports whether the grant after the given number of grants goes by age.
func byAge(grants uint64) bool { return grants%OldestInterval == OldestInterval-1 }

// Order returns the requests in the order of their grants, after the given number of grants,
// if none arrives or leaves.
func Order(now time.Time, grants uint64, requests []Request) []Request {
	byRank, byArrival := make([]int, len(requests)), make([]int, len(requests))
	for i := range requests {
		byRank[i], byArrival[i] = i, i
	}
	slices.SortFunc(byRank, func(x, y int) int { return compare(now, &requests[x], &requests[y]) })
	slices.SortFunc(byArrival, func(x, y int) int { return cmp.Compare(requests[x].Arrival, requests[y].Arrival) })
	out, taken := make([]Request, 0, len(requests)), make([]bool, len(requests))
	for len(out) < len(requests) {
		list := &byRank
		if byAge(grants) {
			list = &byArrival
		}
		next := (*list)[0]
		*list = (*list)[1:]
		if taken[next] {
			continue
		}
		taken[next] = true
		out = append(out, requests[next])
		grants++
	}
	return out
}
