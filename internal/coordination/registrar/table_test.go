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

// clock steps a table as a running leader does.
type clock struct {
	table *registrar.Table
	now   time.Time
}

// run ticks every 100 ms for d, renews the named members before each tick, and
// returns all that expired.
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
	// Symptom: calls go on to a backend server whose host has lost power.
	// Sequence: one of eight stops renewing; the others go on.
	// Cause to prevent: a lease without an end.
	It("expires a silent member within its lease and a tick", func() {
		ms, rs := members("a", 8)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		Expect(c.run(lease-200*time.Millisecond, rs[1:]...)).To(BeEmpty())
		Expect(c.run(300*time.Millisecond, rs[1:]...)).To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 1}}))
	})

	// Symptom: a dead backend server's successor stays a member though nobody
	// answers there.
	// Sequence: a companion freezes; its successor joins under the same name,
	// then dies; the old one thaws and renews.
	// Cause to prevent: a renewal counted by name and not by epoch.
	It("gives an old incarnation Void and does not let it renew", func() {
		ms, _ := members("a", 1)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		c.table.Begin(start, registrar.Membership{Name: "a-0", Epoch: 9, FailureDomain: "a"})
		old := registrar.LeaseRenewal{Name: "a-0", Epoch: 1}
		Expect(c.table.Renew(start, []registrar.LeaseRenewal{old})).
			To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 1}}))
		Expect(c.run(lease+100*time.Millisecond, old)).To(Equal([]storer.MemberEpoch{{Name: "a-0", Epoch: 9}}))
	})

	It("neither renews nor voids a membership whose join it has not yet seen", func() {
		ms, _ := members("a", 1)
		table := registrar.NewTable(registrar.Settings{Lease: lease}, start, ms)
		Expect(table.Renew(start, []registrar.LeaseRenewal{{Name: "a-0", Epoch: 7}})).To(BeEmpty())
	})

	// Symptom: after a leader's host was suspended, every backend server
	// vanishes and rejoins.
	// Sequence: the leader freezes for a minute, thaws, and ticks before it has
	// read the renewals that wait in its sockets.
	// Cause to prevent: taking its own silence for that of the members.
	It("expires nobody after its own freeze", func() {
		ms, rs := members("a", 8)
		c := &clock{table: registrar.NewTable(registrar.Settings{Lease: lease}, start, ms), now: start}
		c.run(time.Second, rs...)
		c.now = c.now.Add(time.Minute)
		Expect(c.table.Tick(c.now)).To(BeEmpty())
		Expect(c.run(2*lease, rs...)).To(BeEmpty())
	})

	// Symptom: a cut of two seconds too long takes a whole failure domain out.
	// Sequence: all members of a domain fall silent, each at its own time; the
	// cut heals after the lease has run out but before a second one.
	// Cause to prevent: taking a cut for the death of all at once.
	It("holds a whole domain back for one further lease, and no longer", func() {
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

// A member that renews is never expired, one that doesn't is within two leases
// and a tick, whatever the others and the leader's own pauses do.
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
