package listener_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// fixedAdmission pauses for a given time after each connection; 0 means that it has no limit.
type fixedAdmission struct{ pause, resumeAt atomic.Int64 }

func (a *fixedAdmission) RecordAccepted(now time.Time) {
	a.resumeAt.Store(now.UnixNano() + a.pause.Load())
}

func (a *fixedAdmission) Pause(now time.Time) time.Duration {
	return max(0, time.Duration(a.resumeAt.Load()-now.UnixNano()))
}

func (a *fixedAdmission) Limited() bool { return a.pause.Load() > 0 }

var _ = Describe("A listener whose connections are limited", func() {
	serve := func(a listener.Admission) *listener.HTTP {
		GinkgoHelper()
		h := listener.NewHTTP(listen(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), listener.Limits{Admission: a}, zerolog.Nop())
		DeferCleanup(h.Close)
		return h
	}
	refused := func(address string) func() bool {
		return func() bool {
			conn, err := connect(address)
			if err != nil {
				return true
			}
			_ = conn.Close()
			return false
		}
	}

	It("refuses connections during a pause, serves those it has, and listens again", func() {
		a := &fixedAdmission{}
		h := serve(a)
		a.pause.Store(int64(time.Hour))
		first := dial(h.Address())
		first.send()
		Expect(first.receive().Close).To(BeTrue())
		Eventually(refused(h.Address())).Should(BeTrue())
		Expect(h.Close()).To(Succeed())

		a = &fixedAdmission{}
		h = serve(a)
		a.pause.Store(int64(time.Millisecond))
		for range 3 {
			var c net.Conn
			Eventually(func() (err error) {
				c, err = connect(h.Address())
				return err
			}).Should(Succeed())
			_ = c.Close()
		}
		a.pause.Store(0)
		Eventually(func() bool {
			// All connections are accepted at once again.
			for range 20 {
				if refused(h.Address())() {
					return false
				}
			}
			return true
		}).Should(BeTrue())
	})
})
