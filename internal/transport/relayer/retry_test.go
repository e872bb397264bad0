package relayer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

// Guards against a way to a second backend server that the retry budget does not count.
var _ = DescribeTable("Each request that a further backend server reads counts in the retry budget",
	func(route tracker.Route, reads int64, first func(net.Conn, *http.Request)) {
		var runs atomic.Int64
		script := func(c net.Conn, r *http.Request) {
			if runs.Add(1) < reads {
				first(c, r)
				return
			}
			text("200", signed, "data: x\n\n")(c, r)
		}
		registry := prometheus.NewRegistry()
		e := newEntryChanged(func(s *relayer.Settings) { s.Registerer = registry }, placer.Settings{}, route, nil,
			newBackend(script), newBackend(script), newBackend(script))
		_ = read(e.call(ctx, nil))
		Expect(runs.Load()).To(Equal(reads))
		Expect(metric(registry, "marigoldpoint_relayer_retries_total", "decision", "Sent")).To(BeEquivalentTo(reads - 1))
	},
	Entry("after a failure", repeatable, int64(3), text("500", signed, "failed")),
	Entry("after an unsigned failure", repeatable, int64(3), text("503", "", "failed")),
	Entry("after a reset", repeatable, int64(3), func(c net.Conn, _ *http.Request) { reset(c) }),
	Entry("after a cut head", repeatable, int64(3), func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\nId: 1\r\n")
		_ = c.Close()
	}),
	Entry("after a refusal unread", runOnce, int64(3), text("503", "Not-Run: 1\r\n", "")),
	Entry("after another incarnation", runOnce, int64(3), text("421", "Not-Run: elsewhere\r\n", "")),
	Entry("after answers without an id", repeatable, int64(2), func(c net.Conn, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\n"+signed+"Content-Length: 0\r\n\r\n")
		}
	}),
	Entry("to continue a stream", resumable, int64(3), func(c net.Conn, r *http.Request) {
		events(c, r, 1, 2)
		reset(c)
	}),
)

// Guards against an attempt that is given more time than is left, because the connection to its
// backend server was opened after the time was taken.
var _ = It("An attempt is given the time that is left when it is sent", func() {
	const dialTime, deadline = 200 * time.Millisecond, 2 * time.Second
	given := make(chan string, 1)
	b := newBackend(func(c net.Conn, r *http.Request) {
		given <- r.Header.Get("Time-Left")
		answersWell(c, r)
	})
	pool := exchanger.NewPool(exchanger.Settings{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(dialTime)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	DeferCleanup(pool.Close)
	e := newEntryChanged(func(s *relayer.Settings) { s.Pool = pool }, placer.Settings{}, runOnce, nil, b)
	Expect(e.call(ctx, map[string]string{"Deadline": strconv.FormatInt(deadline.Milliseconds(), 10)}).StatusCode).To(Equal(http.StatusOK))
	left, err := strconv.ParseInt(<-given, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(left).To(BeNumerically("<=", (deadline - dialTime).Milliseconds()))
})
