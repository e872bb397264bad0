package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPropertyThreeHosts and TestPropertyFiveHosts run random schedules of faults: messages lost,
// delayed, duplicated and reordered; links cut in one or both directions; crashes at once or
// between any two durable steps; disks that become full or fail a sync at any operation; processes
// that end without a loss of power; clock jumps; lost disks; proposals, membership changes and
// transfers at any host. At no step may two hosts lead in one term, a disk give two votes in one
// term, a leader lack a committed entry, or two hosts differ in what they applied. Once all faults
// end, the group must make progress.
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
	// The second kind of schedule concentrates on leaders that are cut off just before or after
	// they could send something; the third one on leases and the followers that they depend on.
	action := rapid.IntRange(0, 99)
	switch rapid.IntRange(0, 3).Draw(t, "Kind") {
	case 1:
		action = rapid.SampledFrom([]int{longRun, longRun, delivery, delivery, delivery, proposals, leadersIsolated, leadersIsolated})
	case 2:
		action = rapid.SampledFrom([]int{shortRun, shortRun, shortRun, proposals, leadersIsolated, followersRestarted, followerCut, leaderMuted, repliesDelayed, repliesReleased, allHealed})
	case 3:
		action = rapid.SampledFrom([]int{shortRun, shortRun, longRun, delivery, proposals, proposals, leadersIsolated, allHealed, diskFilled, diskFilled, disksFreed, syncFails, syncFails, processEnds, processStops, powerLost})
	}
	actions := rapid.SliceOfN(action, 20, 120).Draw(t, "Actions")
	for _, a := range actions {
		s.act(a)
	}
	s.heal()
}

// Named actions; see act.
const (
	shortRun           = 21
	longRun            = 31
	delivery           = 43
	proposals          = 55
	leadersIsolated    = 89
	allHealed          = 91
	followersRestarted = 100
	followerCut        = 101
	repliesDelayed     = 102
	repliesReleased    = 103
	leaderMuted        = 104
	diskFilled         = 105
	disksFreed         = 106
	syncFails          = 107
	processEnds        = 108
	powerLost          = 109
	processStops       = 110
)

// act performs one action of a schedule on a random host.
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
		s.losePower(h)
	case action < 75:
		for _, h := range s.hosts {
			s.restart(h)
		}
	case action < 79:
		s.cut[[2]HostID{h.id, o.id}] = true
	case action < 82:
		s.isolate(h)
	case action <= leadersIsolated:
		s.cut = make(map[[2]HostID]bool)
		for _, h := range s.hosts {
			if h.running() && h.replica.core.role == Leader {
				s.isolate(h)
			}
		}
	case action <= allHealed:
		s.cut = make(map[[2]HostID]bool)
	case action < 94:
		s.clockJumped = true
		h.offset += time.Duration(s.random.IntN(4)) * simulatedTimeout
	case action < 97:
		for _, h := range s.hosts {
			s.change(h)
		}
	case action < 99:
		if h.running() && h.replica.core.Transfer() == nil {
			s.advanceHost(h, nil)
		}
	case action == 99:
		s.wipe(h)
	case action >= diskFilled:
		s.actOnDisks(action, h)
	default:
		s.actOnLeases(action, o)
	}
}

// actOnDisks performs the actions on disks and on what depends on them.
func (s *simulation) actOnDisks(action int, h *simulatedHost) {
	switch action {
	case diskFilled:
		h.disk.FillIn(1 + s.random.IntN(12))
	case disksFreed:
		for _, h := range s.hosts {
			h.disk.FillIn(0)
			h.disk.Fill(false)
		}
	case syncFails:
		h.disk.FailSyncIn(1 + s.random.IntN(12))
	case processEnds:
		h.replica, h.applier, h.suspended = nil, nil, false
		s.restart(h)
	case processStops:
		h.disk.StopIn(1 + s.random.IntN(12))
	case powerLost:
		s.losePower(h)
		s.restart(h)
	}
}

// losePower takes a host down and loses what its disk had not synced.
func (s *simulation) losePower(h *simulatedHost) {
	h.disk.Crash()
	h.replica, h.applier, h.suspended = nil, nil, false
}

// actOnLeases performs the actions on leaders and their followers.
func (s *simulation) actOnLeases(action int, o *simulatedHost) {
	if action == repliesReleased {
		s.delayedLinks = make(map[[2]HostID]bool)
	}
	for _, h := range s.hosts {
		leads := h.running() && h.replica.core.role == Leader
		switch {
		case action == followersRestarted && h.replica != nil && !leads:
			s.losePower(h)
			s.restart(h)
		case action == followerCut && leads:
			s.cut[[2]HostID{h.id, o.id}] = true
		case action == repliesDelayed && leads:
			for _, o := range s.hosts {
				s.delayedLinks[[2]HostID{o.id, h.id}] = true
			}
		case action == leaderMuted && leads:
			for _, o := range s.hosts {
				s.cut[[2]HostID{h.id, o.id}] = true
			}
		}
	}
}

// isolate cuts a host off from all others in both directions.
func (s *simulation) isolate(h *simulatedHost) {
	for _, o := range s.hosts {
		s.cut[[2]HostID{h.id, o.id}], s.cut[[2]HostID{o.id, h.id}] = true, true
	}
}
