package suspecter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	// answersPeriod is the length of a period of Answers.
	answersPeriod = 10 * time.Second
	// maxAnsweredParts limits the parts that are counted in one period.
	maxAnsweredParts = 16 << 10
)

// Answers counts the answered requests of one entry by the parts of their prompts, over the
// current period and the one before. Requests that were answered shortly before the first end
// during which a part was in progress clear it as well as later ones. It is safe for concurrent
// use.
type Answers struct {
	mu sync.Mutex
	// current and previous hold the requests that were not reported, by part, and began is when
	// the current period began; guarded by mu.
	current, previous map[uint64]int
	began             time.Time
}

// NewAnswers returns empty counts.
func NewAnswers() *Answers { return &Answers{current: make(map[uint64]int)} }

// Add counts an answered request with the given parts.
func (a *Answers) Add(now time.Time, parts []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	for _, id := range parts {
		if _, known := a.current[id]; known || len(a.current) < maxAnsweredParts {
			a.current[id]++
		}
	}
}

// Take returns and removes the counts of the given parts.
func (a *Answers) Take(now time.Time, parts []uint64) []storer.PartAnswers {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	var taken []storer.PartAnswers
	for _, id := range parts {
		if n := a.current[id] + a.previous[id]; n > 0 {
			taken = append(taken, storer.PartAnswers{Part: id, Requests: n})
			delete(a.current, id)
			delete(a.previous, id)
		}
	}
	slices.SortFunc(taken, func(x, y storer.PartAnswers) int { return cmp.Compare(x.Part, y.Part) })
	return taken
}

// advance begins a new period if the current one is over. The caller holds mu.
func (a *Answers) advance(now time.Time) {
	switch passed := now.Sub(a.began); {
	case passed >= 2*answersPeriod:
		a.previous, a.current, a.began = nil, make(map[uint64]int), now
	case passed >= answersPeriod:
		a.previous, a.current, a.began = a.current, make(map[uint64]int), now
	}
}
