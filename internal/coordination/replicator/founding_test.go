package replicator

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
)

// newFounding returns three hosts that have not started yet.
func newFounding(seed uint64, label string) *simulation {
	fail := func(format string, args ...any) { ginkgo.Fail(label + ": " + fmt.Sprintf(format, args...)) }
	s := newSimulation(fail, rand.New(rand.NewPCG(seed, 7)), 0, 0, 200)
	for i := 1; i <= 3; i++ {
		s.voters = append(s.voters, Member{ID: HostID(i), Address: fmt.Sprint(i)})
		s.hosts = append(s.hosts, &simulatedHost{id: HostID(i), disk: disker.NewDisk(s.random)})
	}
	return s
}

// kill ends a host's process, and with it the messages on its connections. Its disk keeps what is
// durable.
func (s *simulation) kill(h *simulatedHost) {
	h.replica, h.applier = nil, nil
	h.disk.Crash()
	h.disk.Restart()
	var left []Message
	for _, m := range s.network {
		if m.From != h.id && m.To != h.id {
			left = append(left, m)
		}
	}
	s.network = left
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.tick()
	s.deliver(false)
}

// formations returns the formations that the hosts belong to.
func (s *simulation) formations() map[uint64]int {
	n := map[uint64]int{}
	for _, h := range s.hosts {
		if h.replica != nil && h.replica.identity.Formation != 0 {
			n[h.replica.identity.Formation]++
		}
	}
	return n
}

var _ = ginkgo.Describe("a group that is being formed", func() {
	// skew is the time between the starts of two hosts, and moments the number of ticks from the
	// first start in which hosts are killed; after them the group has a leader.
	const skew, moments = 3, 60

	// Guards against a group that never forms since hosts were killed while they formed it, and
	// were started again as hosts that may have lost their disks.
	ginkgo.It("forms once, at whichever moment hosts are killed and restarted", func() {
		plays := 0
		for at := range moments {
			for subset := 1; subset < 8; subset++ {
				for _, pause := range []int{1, 30} {
					label := fmt.Sprintf("hosts %03b killed at tick %d for %d", subset, at, pause)
					s := newFounding(uint64(at*100+subset*10+pause), label)
					killed := map[int]bool{}
					for tick := range moments + 2*pause {
						for i, h := range s.hosts {
							if tick == i*skew || tick == at+pause && killed[i] {
								h.rejoin = killed[i]
								s.start(h)
							}
							// A host that starts later is not killed.
							if tick == at && subset>>i&1 == 1 && h.replica != nil {
								s.kill(h)
								killed[i] = true
							}
						}
						s.step()
					}
					s.heal()
					Expect(s.formations()).To(HaveLen(1), label)
					plays++
				}
			}
		}
		Expect(plays).To(Equal(moments * 7 * 2))
	})

	// Guards against hosts that are killed between two durable steps.
	ginkgo.It("forms after a crash at any durable step of a host", func() {
		for n := 1; n < 40; n++ {
			for crashing := range 3 {
				label := fmt.Sprintf("host %d crashes at step %d", crashing+1, n)
				s := newFounding(uint64(n*10+crashing), label)
				h := s.hosts[crashing]
				h.disk.CrashIn(n)
				for _, other := range s.hosts {
					s.start(other)
				}
				for range moments {
					s.step()
					if h.replica == nil {
						h.disk.Restart()
						h.rejoin = true
						s.start(h)
					}
				}
				s.heal()
				Expect(s.formations()).To(HaveLen(1), label)
			}
		}
	})

	// Guards against two groups from one set of hosts: those that lost their disks, or new hosts with
	// the same addresses, form one of their own.
	ginkgo.DescribeTable("is not formed by hosts with empty disks",
		func(rejoining [3]bool, forms bool) {
			s := newFounding(1, "")
			for i, h := range s.hosts {
				h.rejoin = rejoining[i]
				s.start(h)
			}
			s.run(60, false)
			Expect(s.leader() != nil).To(Equal(forms))
			Expect(s.formations()).To(HaveLen(map[bool]int{true: 1}[forms]))
		},
		ginkgo.Entry("all", [3]bool{true, true, true}, false),
		ginkgo.Entry("the first and the second", [3]bool{true, true, false}, false),
		ginkgo.Entry("the second and the third", [3]bool{false, true, true}, false),
		ginkgo.Entry("unless it is the first alone", [3]bool{true, false, false}, true),
		ginkgo.Entry("unless it is the third alone", [3]bool{false, false, true}, true),
	)

	ginkgo.It("forms no second group when a host, or all, lose their disks later", func() {
		for lost := 1; lost < 8; lost++ {
			s := newFounding(uint64(lost), fmt.Sprintf("hosts %03b lose their disks", lost))
			for _, h := range s.hosts {
				s.start(h)
			}
			s.run(20, false)
			formation := s.hosts[0].replica.identity.Formation
			Expect(formation).NotTo(BeZero())
			for i, h := range s.hosts {
				if lost>>i&1 == 1 {
					s.kill(h)
					h.disk.Wipe()
					h.rejoin = true
					s.start(h)
				}
			}
			s.run(60, false)
			for f := range s.formations() {
				Expect(f).To(Equal(formation))
			}
		}
	})
})
