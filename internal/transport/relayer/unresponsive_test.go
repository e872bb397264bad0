package relayer_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against repeated calls that a backend server which stands still reads seconds later, with the time that
// was left when they were sent.
var _ = Describe("A backend server without a companion that answers no call", func() {
	It("gets no repeated call, and few first ones, until it answers", func() {
		awake := make(chan struct{})
		var later atomic.Int64
		still := newBackend(func(c net.Conn, r *http.Request) {
			if r.Header.Get("Id") != "waits" {
				later.Add(1)
			}
			<-awake
			answersWell(c, r)
		})
		var failing atomic.Bool
		other := newBackend(func(c net.Conn, r *http.Request) {
			if failing.Load() {
				hangUp(c, r)
				return
			}
			answersWell(c, r)
		})
		e := newEntry(repeatable, nil, still, other)
		Eventually(func() int {
			go func() {
				defer GinkgoRecover()
				e.call(ctx, map[string]string{"Id": "waits"})
			}()
			return runs(still)
		}).Should(BeNumerically(">", 0))
		e.clockOffset.Add(int64(2 * time.Second))
		Eventually(func() bool { return e.relayer.IsUnresponsive("b0") }).Should(BeTrue())
		for range 20 {
			Expect(e.call(ctx, map[string]string{"Id": "first"}).StatusCode).To(Equal(http.StatusOK))
		}
		Expect(later.Load()).To(BeZero())
		failing.Store(true)
		Expect(e.call(ctx, map[string]string{"Id": "repeated"}).StatusCode).To(Equal(http.StatusBadGateway))
		Expect(later.Load()).To(BeZero())
		close(awake)
		Eventually(func() bool { return e.relayer.IsUnresponsive("b0") }).Should(BeFalse())
		Eventually(func() int { return e.call(ctx, map[string]string{"Id": "next"}).StatusCode }).Should(Equal(http.StatusOK))
	})

	// Guards against calls that are not repeated since all backend servers of a service are slow.
	It("is not taken for unresponsive if it isn't known how long calls take", func() {
		awake, reached := make(chan struct{}), make(chan struct{}, 1)
		slow := newBackend(func(c net.Conn, r *http.Request) {
			reached <- struct{}{}
			<-awake
			answersWell(c, r)
		})
		e := newEntry(repeatable, nil, slow)
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			answered <- e.call(ctx, nil).StatusCode
		}()
		<-reached
		e.clockOffset.Add(int64(5 * time.Second))
		e.relayer.CheckUnresponsive()
		Expect(e.relayer.IsUnresponsive("b0")).To(BeFalse())
		close(awake)
		Eventually(answered).Should(Receive(Equal(http.StatusOK)))
	})
})
