package relayer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const keyLease = 4 * time.Second

// control is a test double for the control hosts as seen through an entry's client.
type control struct {
	mu sync.Mutex
	// age is the age of the known state. If answers is set, reports are answered and
	// then set age to 0. Both are guarded by mu.
	age     time.Duration
	answers bool
	// onReport is called for each report that is answered; nil means nothing. Guarded by mu.
	onReport func()
	// decision is the result for calls with a quota; guarded by mu.
	decision bucketer.Decision
	// reserve answers reservations; guarded by mu.
	reserve func(regulator.Reserve) regulator.Reserved
	// balance is the amount spent minus the amount refunded; guarded by mu.
	balance float64
}

func (c *control) set(age time.Duration, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.age, c.answers = age, answers
}

func (c *control) Age() (time.Duration, bool) { return c.ConfirmedAge() }

func (c *control) ConfirmedAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.age, c.age >= 0
}

func (c *control) AwaitReport(context.Context) bool {
	c.mu.Lock()
	answers, onReport := c.answers, c.onReport
	c.mu.Unlock()
	if !answers {
		return false
	}
	if onReport != nil {
		onReport()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.age = 0
	return true
}

func (c *control) Spend(_ string, _ bucketer.Limit, cost float64, _ time.Duration) bucketer.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decision.Admitted {
		c.balance += cost
	}
	return c.decision
}

// Reserve is answered by reserve; without it, no control host is reached.
func (c *control) Reserve(_ context.Context, q regulator.Reserve) (regulator.Reserved, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserve == nil {
		return regulator.Reserved{}, errors.New("no control host")
	}
	return c.reserve(q), nil
}

func (c *control) Refund(_ string, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balance -= cost
}

func (c *control) spent() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balance
}

func keyed(key string) []tracker.Workspace {
	return []tracker.Workspace{{
		Name: "w", Keys: []tracker.KeyDigest{tracker.DigestKey(key)}, Priority: 7, HasPriority: true,
		Quota: tracker.Quota{Rate: 10, Burst: 10, Tokens: true},
	}}
}

var _ = Describe("A caller's key", func() {
	var b *backend
	var e *entry
	ctx := context.Background()
	with := func(key string) map[string]string { return map[string]string{"Key": key, "Model": "m/a"} }

	BeforeEach(func() {
		b = newBackend(text("200", signed, "ok"))
		e = newEntry(tracker.Route{}, &tracker.Engine{Models: []tracker.Model{{Name: "m"}}}, b)
		e.control.decision = bucketer.Decision{Admitted: true}
		e.reconfigure(keyed("k"))
		e.reportState(*e.tracker.View().Members("s")[0])
	})

	It("gives access to what its workspace may use", func() {
		Expect(e.call(ctx, with("k")).StatusCode).To(Equal(http.StatusOK))
		Expect(e.control.spent()).To(BeEquivalentTo(200))
	})

	// Guards against 401 for a key that is already in force at another entry.
	It("is refused as unknown only by state newer than the call", func() {
		e.control.set(time.Second, false)
		Expect(e.call(ctx, with("other")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		e.control.set(time.Second, true)
		Expect(e.call(ctx, with("other")).StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(b.runs.Load()).To(BeZero())
	})

	// Guards against runs with revoked keys at an entry that was partitioned or
	// stalled.
	It("is refused if the known keys are too old", func() {
		e.control.set(keyLease, false)
		refused := e.call(ctx, with("k"))
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(e.relayer.KeysTrusted()).To(BeFalse())
		e.control.set(keyLease-time.Millisecond, false)
		Expect(e.call(ctx, with("k")).StatusCode).To(Equal(http.StatusOK))
		Expect(e.relayer.KeysTrusted()).To(BeTrue())
	})

	DescribeTable("is checked again right before the call is sent",
		// Guards against runs of calls whose key was revoked, or whose entry lost
		// contact, while they waited for their adapter.
		func(meanwhile func(), status int) {
			e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
				e.mu.Unlock()
				defer e.mu.Lock()
				meanwhile()
				return messenger.Admitted{Version: m.Version}, nil
			}
			Expect(e.call(ctx, with("k")).StatusCode).To(Equal(status))
			Expect(b.runs.Load()).To(BeZero())
			Eventually(e.control.spent).Should(BeZero(), "a call that has not run is refunded")
		},
		Entry("after it was revoked", func() { e.reconfigure(keyed("new")) }, http.StatusUnauthorized),
		Entry("after contact was lost", func() { e.control.set(time.Hour, false) }, http.StatusServiceUnavailable),
	)

	It("is refused over its workspace's quota, with the time to retry after", func() {
		e.control.mu.Lock()
		e.control.decision = bucketer.Decision{RetryAfter: 700 * time.Millisecond}
		e.control.mu.Unlock()
		refused := e.call(ctx, with("k"))
		Expect(refused.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(refused.Header.Get("Retry-After")).To(Equal("0.700"))
	})

	// Guards against calls that are charged twice, or that did not run and are not
	// refunded.
	It("is charged once for a call with several attempts, and not for one that did not run", func() {
		refuse := func(c net.Conn, r *http.Request) { text("503", "Not-Run: yes\r\n", "")(c, r) }
		other := newBackend(refuse)
		b.script = refuse
		e.announce(1, other, 0)
		Expect(e.call(ctx, with("k")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(e.control.spent).Should(BeZero())
	})
})
