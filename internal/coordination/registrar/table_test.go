package registrar_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const lease = 3 * time.Second

// clock drives a table as a running leader does.
type clock struct {
	table *registrar.Table
	now   time.Time
}

// run ticks every 100 ms for d, applies the given renewals before each tick, and returns all
// expired memberships.
func (c *clock) run(d time.Duration, renewing ...registrar.LeaseRenewal) []storer.MemberEpoch {
	var expired []storer.MemberEpoch
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(100 * time.Millisecond)
		c.table.Renew(c.now, renewing)
		for _, m := range c.table.Tick(c.now) {
			expired = append(expired, m)
			c.table.End(m.Name, m.Epoch)
		}
	}
	return expired
}

func members(domain string, n int) ([]registrar.Membership, []registrar.LeaseRenewal) {
	var ms []registrar.Membership
	var rs []registrar.LeaseRenewal
	for i := range n {
		name := fmt.Sprintf("%s-%d", domain, i)
		ms = append(ms, registrar.Membership{Name: name, Epoch: uint64(i + 1), FailureDomain: domain})
		rs = append(rs, registrar.LeaseRenewal{Name: name, Epoch: uint64(i + 1)})
	}
	return ms, rs
}

var _ = Describe("Table", func() {
	// Guards against calls to a backend server whose host has lost power. One of eight members
	// stops renewing, and the others continue.
	It("expires a silent member within its lease and a tick", func() {
		ms, rs := members("a", 8)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		Expect(c.run(lease-200*time.Millisecond, rs[1:]...)).To(BeEmpty())
		Expect(c.run(300*time.Millisecond, rs[1:]...)).To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 1}}))
	})

	// Guards against a membership that outlives its backend server. A companion is suspended; its
	// successor joins under the same name and then fails; the old companion resumes and renews.
	// Renewals must count by epoch, not by name.
	It("voids the renewal of a replaced membership and keeps the lease of its successor unrenewed", func() {
		ms, _ := members("a", 1)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		c.table.Begin(start, registrar.Membership{Name: "a-0", Epoch: 9, FailureDomain: "a"})
		old := registrar.LeaseRenewal{Name: "a-0", Epoch: 1}
		Expect(c.table.Renew(start, []registrar.LeaseRenewal{old})).
			To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 1}}))
		Expect(c.run(lease+100*time.Millisecond, old)).To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 9}}))
	})

	It("neither renews nor voids a membership whose join it has not processed yet", func() {
		ms, _ := members("a", 1)
		table := registrar.NewTable(registrar.Settings{Lease: lease}, start, ms)
		Expect(table.Renew(start, []registrar.LeaseRenewal{{Name: "a-0", Epoch: 7}})).To(BeEmpty())
	})

	// Guards against the loss of all backend servers after the leader's host was suspended. The
	// leader is suspended for a minute, resumes, and ticks before it has read the renewals in its
	// sockets. It must not take its own pause for the silence of the members.
	It("expires no member after its own pause", func() {
		ms, rs := members("a", 8)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		c.run(time.Second, rs...)
		c.now = c.now.Add(time.Minute)
		Expect(c.table.Tick(c.now)).To(BeEmpty())
		Expect(c.run(2*lease, rs...)).To(BeEmpty())
	})

	// Guards against the loss of a whole failure domain in a network partition that lasts slightly
	// longer than a lease. All members of a domain fall silent, each at a different time; the
	// partition heals after one lease but before a second one.
	It("gives a silent failure domain one further lease, and no more", func() {
		ms, rs := members("a", 6)
		others, otherRenewals := members("b", 6)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, append(ms, others...)), now: start}
		for i := range rs {
			c.run(100*time.Millisecond, append(rs[i:len(rs):len(rs)], otherRenewals...)...)
		}
		Expect(c.run(lease+time.Second, otherRenewals...)).To(BeEmpty())
		Expect(c.run(time.Second, append(rs, otherRenewals...)...)).To(BeEmpty())
		Expect(c.run(2*lease+100*time.Millisecond, otherRenewals...)).To(HaveLen(6))
	})
})

// A member that renews never expires, and one that does not expires within two leases and a tick,
// whatever the other members and the leader's own pauses do.
func TestPropertyExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, rs := members("a", rapid.IntRange(1, 6).Draw(t, "members"))
		now := start
		table := registrar.NewTable(registrar.Settings{Lease: lease}, now, ms)
		lastSeen := make(map[string]time.Time)
		for _, m := range ms {
			lastSeen[m.Name] = now
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(50, 1200).Draw(t, "step")) * time.Millisecond
			now = now.Add(step)
			if step > lease/3 {
				for name := range lastSeen {
					lastSeen[name] = now
				}
			}
			for _, r := range rs {
				if rapid.Bool().Draw(t, "renews") {
					if len(table.Renew(now, []registrar.LeaseRenewal{r})) == 0 {
						lastSeen[r.Name] = now
					}
				}
			}
			for _, m := range table.Tick(now) {
				if silent := now.Sub(lastSeen[m.Name]); silent < lease {
					t.Fatalf("%s expired after %v of silence", m.Name, silent)
				}
				table.End(m.Name, m.Epoch)
				delete(lastSeen, m.Name)
			}
			for name, seen := range lastSeen {
				if silent := now.Sub(seen); silent >= 2*lease+time.Second {
					t.Fatalf("%s still a member after %v of silence", name, silent)
				}
			}
		}
	})
}
