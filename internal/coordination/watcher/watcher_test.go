package watcher_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/watcher"
)

func TestWatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Watcher")
}

// hosts beat every 200 ms from the start; a look comes every 100 ms.
type hosts struct {
	watcher *watcher.Watcher
	now     time.Time
}

func newHosts() *hosts {
	return &hosts{watcher: watcher.NewWatcher(watcher.Settings{}), now: time.Unix(100, 0)}
}

// pass lets time pass in which the hosts named beat, and returns those found silent at
// any look.
func (h *hosts) pass(d time.Duration, beating ...string) map[string]time.Duration {
	found := make(map[string]time.Duration)
	began := h.now
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(watcher.DefaultInterval) {
		if h.now.UnixMilli()%200 == 0 {
			for _, name := range beating {
				h.watcher.RecordContact(h.now, name)
			}
		}
		for _, name := range h.watcher.Check(h.now) {
			if _, ok := found[name]; !ok {
				found[name] = h.now.Sub(began)
			}
		}
	}
	return found
}

var _ = Describe("A watcher", func() {
	It("finds the hosts that stand still, and no other", func() {
		// Symptom: callers leave after two seconds in which their calls wait at a
		// host that stands still, and the calls reach its engine when it wakes.
		// Events: of twelve hosts that beat, two stand still for three seconds.
		// Cause: nothing was concluded from a host that says nothing at all.
		h := newHosts()
		Expect(h.pass(5*time.Second, "a", "b", "c")).To(BeEmpty())
		Expect(h.pass(3*time.Second, "a")).To(SatisfyAll(
			HaveLen(2),
			HaveKeyWithValue("b", BeNumerically("<=", 600*time.Millisecond)),
			HaveKeyWithValue("c", BeNumerically("<=", 600*time.Millisecond)),
		))
		Expect(h.pass(time.Second, "a", "b", "c")).To(BeEmpty())
	})

	It("bears the loss of one heartbeat", func() {
		h := newHosts()
		h.pass(time.Second, "a")
		Expect(h.pass(400 * time.Millisecond)).To(BeEmpty())
	})

	It("takes nobody for silent after this process stood still", func() {
		// Symptom: an entry that wakes drops all that waits at all engines.
		// Events: the entry's host stands still for two seconds; it looks before it
		// has read the heartbeats that came meanwhile.
		// Cause: its own silence was taken for everybody's.
		h := newHosts()
		h.pass(time.Second, "a", "b")
		h.now = h.now.Add(2 * time.Second)
		Expect(h.watcher.Check(h.now)).To(BeEmpty())
		Expect(h.pass(400 * time.Millisecond)).To(BeEmpty())
		Expect(h.pass(2*time.Second, "a")).To(HaveKey("b"), "who stays silent is found all the same")
	})

	It("knows nothing of hosts never heard of, nor of those that have left", func() {
		h := newHosts()
		Expect(h.pass(time.Second)).To(BeEmpty())
		h.pass(time.Second, "a")
		h.watcher.Retain(func(string) bool { return false })
		Expect(h.pass(time.Second)).To(BeEmpty())
	})
})
