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

// hosts simulates hosts that send heartbeats every 200 ms and are checked every 100 ms.
type hosts struct {
	watcher *watcher.Watcher
	now     time.Time
}

func newHosts() *hosts {
	return &hosts{watcher: watcher.NewWatcher(watcher.Settings{}), now: time.Unix(100, 0)}
}

// advance advances the time while the named hosts send heartbeats. It returns the hosts
// found silent, with the time until they were first found.
func (h *hosts) advance(d time.Duration, beating ...string) map[string]time.Duration {
	found := make(map[string]time.Duration)
	startedAt := h.now
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(watcher.DefaultInterval) {
		if h.now.UnixMilli()%200 == 0 {
			for _, name := range beating {
				h.watcher.RecordContact(h.now, name)
			}
		}
		for _, name := range h.watcher.Check(h.now) {
			if _, ok := found[name]; !ok {
				found[name] = h.now.Sub(startedAt)
			}
		}
	}
	return found
}

var _ = Describe("A watcher", func() {
	It("finds the hosts that have stalled, and no others", func() {
		// Guards against callers disconnecting after two seconds in which their calls
		// wait at a stalled host, and against those calls reaching its engine when it
		// resumes. Two of three hosts that send heartbeats stall for three seconds. The
		// fault was that nothing was concluded from the silence of a host.
		h := newHosts()
		Expect(h.advance(5*time.Second, "a", "b", "c")).To(BeEmpty())
		Expect(h.advance(3*time.Second, "a")).To(SatisfyAll(
			HaveLen(2),
			HaveKeyWithValue("b", BeNumerically("<=", 600*time.Millisecond)),
			HaveKeyWithValue("c", BeNumerically("<=", 600*time.Millisecond)),
		))
		Expect(h.advance(time.Second, "a", "b", "c")).To(BeEmpty())
	})

	It("tolerates the loss of one heartbeat", func() {
		h := newHosts()
		h.advance(time.Second, "a")
		Expect(h.advance(400 * time.Millisecond)).To(BeEmpty())
	})

	It("considers no host silent after this process has stalled", func() {
		// Guards against an entry dropping everything that waits at all engines when it
		// resumes. The entry's host stalls for two seconds, and the entry checks before
		// it has read the heartbeats that arrived meanwhile. The fault was to attribute
		// its own silence to all other hosts.
		h := newHosts()
		h.advance(time.Second, "a", "b")
		h.now = h.now.Add(2 * time.Second)
		Expect(h.watcher.Check(h.now)).To(BeEmpty())
		Expect(h.advance(400 * time.Millisecond)).To(BeEmpty())
		Expect(h.advance(2*time.Second, "a")).To(HaveKey("b"), "a host that remains silent is still found")
	})

	It("ignores hosts without contact and hosts that have left", func() {
		h := newHosts()
		Expect(h.advance(time.Second)).To(BeEmpty())
		h.advance(time.Second, "a")
		h.watcher.Retain(func(string) bool { return false })
		Expect(h.advance(time.Second)).To(BeEmpty())
	})
})
