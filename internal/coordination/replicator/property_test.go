package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPropertyThreeHosts and TestPropertyFiveHosts let random schedules of
// faults run: messages lost, late, doubled and reordered; links cut one way or
// both; crashes now or between any two durable steps; clocks that jump; lost
// disks; proposals, membership changes and transfers at any host. In no step
// may two hosts lead one term, a leader lack a committed entry, or two hosts
// differ in what they applied; and when all faults end the group must go on.
func TestPropertyThreeHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, 3) })
}

func TestPropertyFiveHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, 5) })
}

func runSchedule(t *rapid.T, voters int) {
	seed := rapid.Uint64().Draw(t, "Seed")
	messageBytes := rapid.SampledFrom([]int{1, 200}).Draw(t, "MessageBytes")
	s := newSimulation(t.Fatalf, rand.New(rand.NewPCG(seed, 0)), voters, 1, messageBytes)
	s.run(20, false)
	// The second kind of schedule is all about leaders that are cut off just
	// after, or just before, they could tell the others something; the third
	// one about leases, and those whose promise they rest on.
	action := rapid.IntRange(0, 99)
	switch rapid.IntRange(0, 2).Draw(t, "Kind") {
	case 1:
		action = rapid.SampledFrom([]int{longRun, longRun, delivery, delivery, delivery, proposals, leadersCut, leadersCut})
	case 2:
		action = rapid.SampledFrom([]int{shortRun, shortRun, shortRun, proposals, leadersCut, bounce, unheard, muted, heldBack, released, allHealed})
	}
	actions := rapid.SliceOfN(action, 20, 120).Draw(t, "Actions")
	for _, a := range actions {
		s.act(a)
	}
	s.heal()
}

// Some of the actions, see act.
const (
	shortRun   = 21
	longRun    = 31
	delivery   = 43
	proposals  = 55
	leadersCut = 89
	allHealed  = 91
	bounce     = 100
	unheard    = 101
	heldBack   = 102
	released   = 103
	muted      = 104
)

// act carries out one action of a schedule on a random host.
func (s *simulation) act(action int) {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	o := s.hosts[s.random.IntN(len(s.hosts))]
	switch {
	case action <= shortRun:
		s.run(1+s.random.IntN(5), true)
	case action <= longRun:
		s.run(6+s.random.IntN(6), true)
	case action <= delivery:
		s.deliver(true)
	case action <= proposals:
		for _, h := range s.hosts {
			s.read(h)
			s.propose(h)
		}
	case action < 61:
		h.disk.CrashIn(1 + s.random.IntN(12))
	case action < 66:
		h.disk.Crash()
		h.replica, h.applier = nil, nil
	case action < 75:
		for _, h := range s.hosts {
			s.restart(h)
		}
	case action < 79:
		s.cut[[2]HostID{h.id, o.id}] = true
	case action < 82:
		s.isolate(h)
	case action <= leadersCut:
		s.cut = make(map[[2]HostID]bool)
		for _, h := range s.hosts {
			if h.replica != nil && h.replica.core.role == Leader {
				s.isolate(h)
			}
		}
	case action <= allHealed:
		s.cut = make(map[[2]HostID]bool)
	case action < 94:
		s.jumped = true
		h.offset += time.Duration(s.random.IntN(4)) * simulatedTimeout
	case action < 97:
		for _, h := range s.hosts {
			s.change(h)
		}
	case action < 99:
		if h.replica != nil && h.replica.core.Transfer() == nil {
			s.finish(h, nil)
		}
	case action == 99:
		s.wipe(h)
	default:
		s.actOnLeases(action, o)
	}
}

// actOnLeases carries out the actions on leaders and their followers.
func (s *simulation) actOnLeases(action int, o *simulatedHost) {
	if action == released {
		s.held = make(map[[2]HostID]bool)
	}
	for _, h := range s.hosts {
		leads := h.replica != nil && h.replica.core.role == Leader
		switch {
		case action == bounce && h.replica != nil && !leads:
			h.disk.Crash()
			h.replica, h.applier = nil, nil
			s.restart(h)
		case action == unheard && leads:
			s.cut[[2]HostID{h.id, o.id}] = true
		case action == heldBack && leads:
			for _, o := range s.hosts {
				s.held[[2]HostID{o.id, h.id}] = true
			}
		case action == muted && leads:
			for _, o := range s.hosts {
				s.cut[[2]HostID{h.id, o.id}] = true
			}
		}
	}
}

// isolate cuts a host off from all others, both ways.
func (s *simulation) isolate(h *simulatedHost) {
	for _, o := range s.hosts {
		s.cut[[2]HostID{h.id, o.id}], s.cut[[2]HostID{o.id, h.id}] = true, true
	}
}
