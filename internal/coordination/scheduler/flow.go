package scheduler

import "slices"

// flow holds the waiting requests of one workspace.
type flow struct {
	workspace string
	share     int
	// start is the virtual time at which the flow's next item begins. It determines the
	// order of the flows: the lowest is served first.
	start float64
	// items holds the waiting items in the order of waiting.before.
	items []*waiting
	// tokens is the sum of the items' estimates.
	tokens int64
	// running is the number of items taken and not yet finished.
	running int
}

func (f *flow) insert(w *waiting) {
	at, _ := slices.BinarySearchFunc(f.items, w, func(a, b *waiting) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	f.items = slices.Insert(f.items, at, w)
	f.tokens += w.Tokens
}

func (f *flow) remove(at int) *waiting {
	w := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.tokens -= w.Tokens
	return w
}

// newest returns the index of the item that arrived last, or -1.
func (f *flow) newest() int {
	best := -1
	for i, w := range f.items {
		if best < 0 || w.sequence > f.items[best].sequence {
			best = i
		}
	}
	return best
}

// charge returns the virtual time that tokens cost the flow.
func (f *flow) charge(tokens int64) float64 { return float64(tokens) / float64(f.share) }
