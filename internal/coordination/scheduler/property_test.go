package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reference is a simple model of a queue: all waiting items in order of arrival.
type reference struct {
	t     *rapid.T
	q     *Queue
	now   time.Time
	next  int
	items []arrived
	taken map[string]bool
	// cold is the set of versions that cannot be pinned.
	cold map[string]bool

	// others is the number of tokens of other workspaces served since a workspace was
	// last served, while it always had a runnable item.
	others map[string]int64
	// last and largest are the last and the largest charge of each workspace.
	last    map[string]int64
	largest map[string]int64
	shares  map[string]int
}

type arrived struct {
	Item
	at time.Time
}

func TestPropertyQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reference{
			t: t, now: start, taken: map[string]bool{}, cold: map[string]bool{},
			others: map[string]int64{}, last: map[string]int64{}, largest: map[string]int64{},
			shares: map[string]int{"a": 1, "b": 2, "c": 5},
		}
		r.q = NewQueue(Settings{MaxRequests: 12, MaxTokens: 4000, WorkspaceRequests: 9, WorkspaceTokens: 3000})
		t.Repeat(map[string]func(*rapid.T){
			"": r.check, "push": r.push, "push2": r.push, "take": r.take, "take2": r.take, "remove": r.remove,
			"finish": r.finish, "turn": r.turn, "pass": r.pass,
		})
	})
}

func (r *reference) push(t *rapid.T) {
	r.next++
	w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	it := Item{
		Request: fmt.Sprint("r", r.next), Workspace: w, Share: r.shares[w],
		Version:  w + rapid.SampledFrom([]string{"/x@1", "/y@1"}).Draw(t, "adapter"),
		Priority: rapid.IntRange(0, TopPriority).Draw(t, "priority"),
		Tokens:   rapid.Int64Range(1, 900).Draw(t, "tokens"),
	}
	if !r.runnable(w) {
		// The bound of the workspace applies from the time it has a runnable item.
		r.others[w] = 0
	}
	r.items = append(r.items, arrived{it, r.now})
	r.largest[w] = max(r.largest[w], it.Tokens)
	for _, refused := range r.q.Push(r.now, it, 0) {
		r.drop(refused.Item)
	}
}

// drop checks that a refused item is the newest one of its workspace.
func (r *reference) drop(it Item) {
	if r.taken[it.Request] {
		r.t.Fatalf("%s was refused after it started", it.Request)
	}
	for i := len(r.items) - 1; i >= 0; i-- {
		if r.items[i].Workspace == it.Workspace {
			if r.items[i].Request != it.Request {
				r.t.Fatalf("%s refused before the newer %s", it.Request, r.items[i].Request)
			}
			r.items = append(r.items[:i], r.items[i+1:]...)
			return
		}
	}
	r.t.Fatalf("%s refused but not waiting", it.Request)
}

func (r *reference) runnable(workspace string) bool {
	for _, it := range r.items {
		if it.Workspace == workspace && !r.cold[it.Version] {
			return true
		}
	}
	return false
}

func (r *reference) take(t *rapid.T) {
	s, ok := r.q.Next(r.now, 1, func(it Item) bool { return !r.cold[it.Version] })
	if !ok {
		for w := range r.shares {
			if r.runnable(w) {
				t.Fatalf("nothing taken although %s could run", w)
			}
		}
		return
	}
	best := -1
	for i, it := range r.items {
		if it.Workspace == s.Workspace && !r.cold[it.Version] && (best < 0 || r.key(it).Before(r.key(r.items[best]))) {
			best = i
		}
	}
	if best < 0 || r.items[best].Request != s.Request {
		t.Fatalf("%s taken against the order of its workspace", s.Request)
	}
	for w := range r.shares {
		if w != s.Workspace && r.runnable(w) {
			r.others[w] += s.Tokens
		}
	}
	r.items = append(r.items[:best], r.items[best+1:]...)
	r.taken[s.Request] = true
	r.others[s.Workspace] = 0
	r.last[s.Workspace] = s.Tokens
}

func (r *reference) key(it arrived) time.Time {
	return it.at.Add(-time.Duration(it.Priority) * DefaultAgeStep)
}

func (r *reference) remove(t *rapid.T) {
	if len(r.items) == 0 {
		t.Skip("empty")
	}
	i := rapid.IntRange(0, len(r.items)-1).Draw(t, "item")
	if !r.q.Remove(r.items[i].Request) {
		t.Fatalf("%s was not waiting", r.items[i].Request)
	}
	r.items = append(r.items[:i], r.items[i+1:]...)
}

func (r *reference) finish(t *rapid.T) {
	for request := range r.taken {
		// The bound does not include corrections.
		r.q.Finish(r.now, request, -1)
		delete(r.taken, request)
		return
	}
	t.Skip("nothing runs")
}

// turn toggles whether a version is resident.
func (r *reference) turn(t *rapid.T) {
	w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	version := w + "/x@1"
	before := r.runnable(w)
	r.cold[version] = !r.cold[version]
	if !before {
		r.others[w] = 0
	}
}

func (r *reference) pass(t *rapid.T) {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
}

// check compares the counts with those of the queue, and the service of other
// workspaces with the bound in the package documentation.
func (r *reference) check(t *rapid.T) {
	var tokens int64
	for _, it := range r.items {
		tokens += it.Tokens
	}
	if r.q.Len() != len(r.items) || r.q.Tokens() != tokens {
		t.Fatalf("queue counts %d items, %d tokens; %d and %d wait", r.q.Len(), r.q.Tokens(), len(r.items), tokens)
	}
	if len(r.items) > 12 || tokens > 4000 {
		t.Fatalf("%d items, %d tokens wait", len(r.items), tokens)
	}
	for w, share := range r.shares {
		if !r.runnable(w) {
			continue
		}
		var bound float64
		for u, other := range r.shares {
			if u != w {
				bound += float64(other)*float64(r.last[w])/float64(share) + float64(r.largest[u]+r.q.maxLag())
			}
		}
		if float64(r.others[w]) > bound {
			t.Fatalf("%s waited while others were served %d tokens; the bound is %v", w, r.others[w], bound)
		}
	}
}
