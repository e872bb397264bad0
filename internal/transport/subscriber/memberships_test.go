package subscriber

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var _ = Describe("memberships", func() {
	var m *memberships
	conn := &messenger.Conn{}

	// beat renews with a load and a residency, and returns the heartbeat's report.
	beat := func(on *messenger.Conn, running int, resident ...string) *registrar.ServerChange {
		m.renew(registrar.Renewal{Name: "backend", Epoch: 7, Load: registrar.Load{Running: running, MaxBatch: 32}, Resident: resident})
		beats := m.take(on, 1)
		Expect(beats).To(HaveLen(1))
		return beats[0].Report
	}

	BeforeEach(func() {
		m = newMemberships(func() time.Time { return time.Unix(1, 0) })
	})

	// Guards against excessive traffic between control hosts under load, of megabytes per
	// second while the entries get next to nothing. A backend server runs 17, then 18, then
	// 19 of 32 requests; each heartbeat carried a report, and its control host sent the
	// full state to all others. Reports were compared by the exact load, and digests by its
	// level.
	It("reports the load only if its level has changed", func() {
		Expect(beat(conn, 17, "w/a@1").Loaded).To(Equal([]string{"w/a@1"}))
		Expect(beat(conn, 18, "w/a@1")).To(BeNil())
		Expect(beat(conn, 19, "w/a@1")).To(BeNil())
		Expect(beat(conn, 32, "w/a@1").Load.Running).To(Equal(32))
	})

	It("bases a change on the last reported state", func() {
		first := beat(conn, 17, "w/a@1")
		Expect(beat(conn, 18, "w/a@1")).To(BeNil())
		c := beat(conn, 18, "w/a@1", "w/b@1")
		Expect(c.Base).To(Equal(first.Sequence))
		Expect(c.Loaded).To(Equal([]string{"w/b@1"}))
	})

	It("reports the full state over another connection", func() {
		beat(conn, 17, "w/a@1")
		c := beat(&messenger.Conn{}, 17, "w/a@1")
		Expect(c.Base).To(BeZero())
		Expect(c.Loaded).To(Equal([]string{"w/a@1"}))
	})
})
