package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// injectedDelays are the delays of a group's disks and links. They can be changed at any time.
type injectedDelays struct {
	mu     sync.Mutex
	random *rand.Rand
	// sync and hop are the maximum time of a disk sync, and the maximum additional time of a
	// message. The minimum is half of it. Guarded by mu.
	sync, hop time.Duration
	// exempted is a host whose disk takes no time, 0 if none. Guarded by mu.
	exempted HostID
}

func (s *injectedDelays) exempt(id HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exempted = id
}

func (s *injectedDelays) set(sync, hop time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync, s.hop = sync, hop
}

// draw returns the time of one sync and of one message.
func (s *injectedDelays) draw() (sync, hop time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	between := func(most time.Duration) time.Duration {
		return most/2 + time.Duration(s.random.Int64N(int64(most/2)+1))
	}
	return between(s.sync), between(s.hop)
}

// slowDisk is a disk whose syncs take time.
type slowDisk struct {
	journaler.FileSystem
	delays *injectedDelays
	host   HostID
}

type slowFile struct {
	journaler.File
	disk *slowDisk
}

func (d *slowDisk) Create(name string) (journaler.File, error) {
	f, err := d.FileSystem.Create(name)
	return slowFile{File: f, disk: d}, err
}

func (d *slowDisk) Open(name string) (journaler.File, error) {
	f, err := d.FileSystem.Open(name)
	if err != nil {
		return nil, err
	}
	return slowFile{File: f, disk: d}, nil
}

func (d *slowDisk) SyncFolder(folder string) error {
	d.wait()
	return d.FileSystem.SyncFolder(folder)
}

func (f slowFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

func (d *slowDisk) wait() {
	sync, _ := d.delays.draw()
	d.delays.mu.Lock()
	exempted := d.delays.exempted == d.host
	d.delays.mu.Unlock()
	if !exempted {
		time.Sleep(sync)
	}
}

// newSlowGroup returns three hosts with a leader. No delays are injected yet.
func newSlowGroup(t *testing.T, seed uint64) (*testGroup, *injectedDelays) {
	t.Helper()
	s := &injectedDelays{random: rand.New(rand.NewPCG(seed, 1))}
	g := newGroup(t, 3, func(set *Settings) {
		set.FileSystem = &slowDisk{FileSystem: disker.NewDisk(rand.New(rand.NewPCG(seed, 2))), delays: s, host: set.Self.ID}
		set.Random = rand.New(rand.NewPCG(seed, 100+uint64(set.Self.ID)))
	})
	g.network.delay, g.network.delays = 200*time.Microsecond, s
	g.leader(0)
	// Each seed starts at a different phase of the heartbeats.
	time.Sleep(time.Duration(seed) * DefaultHeartbeatInterval / 7)
	return g, s
}

// awaitAccepted proposes a change on all hosts in turn until one accepts it, and returns the time
// that this took, at most limit.
func (g *testGroup) awaitAccepted(limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		for _, r := range g.network.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), limit-time.Since(began))
			_, _, err := r.Propose(ctx, []byte("change"))
			cancel()
			if err == nil {
				return time.Since(began)
			}
		}
		time.Sleep(DefaultTickInterval)
	}
	return limit
}

// acceptanceLimit is the time within which a change must be accepted after the loss of a leader. It
// is the time for which a node waits for its change; a backend server that joins meanwhile is
// refused.
const acceptanceLimit = 5 * time.Second

// Guards against a group that accepts no change for more than five seconds after the loss of a
// leader, so that a backend server's join is refused ("no leader is known") and entries lose their
// lease on the configuration.
//
// It comes about when disks or processors are so busy that the sync of a vote, or the delivery of a
// message, takes a large part of the election timeout. Seen on three hosts beside 75 test
// processes: votes received but all refused as late; an iteration of 709 ms on a disk; all three
// hosts granting pre-votes to all three within a second, and then refusing their votes since each
// had voted for itself, twice in a row.
//
// Three faults caused it: a vote was discarded if its candidate had returned to requesting
// pre-votes; a host counted the wait for its own disk as missing replies; and hosts that requested
// pre-votes at the same time all became candidates in the same term.
func TestSlowGroupElectsALeader(t *testing.T) {
	RegisterTestingT(t)
	for _, c := range []struct{ sync, hop time.Duration }{
		{sync: DefaultElectionTimeout / 2},
		{hop: DefaultElectionTimeout / 4},
		{sync: DefaultElectionTimeout / 3, hop: DefaultElectionTimeout / 4},
	} {
		t.Run(fmt.Sprintf("syncs up to %s, messages up to %s", c.sync, c.hop), func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(30) {
				synctest.Test(t, func(t *testing.T) {
					g, s := newSlowGroup(t, seed)
					l := g.leader(0)
					s.set(c.sync, c.hop)
					g.stop(l)
					worst = max(worst, g.awaitAccepted(4*acceptanceLimit))
					s.set(0, 0)
					g.close()
				})
			}
			t.Logf("longest time until a change was accepted: %s", worst)
			Expect(worst).To(BeNumerically("<=", acceptanceLimit))
		})
	}
}

// Guards against a group that changes its leader every half second and accepts hardly anything,
// though no host or message is lost.
//
// It comes about when replies to a leader's heartbeats take 400 to 500 ms. The logs show "elected",
// "leading the control group" and "stepped down" within a second, over and over, with an election
// each time. The leader stepped down as soon as its lease ended, which counts from the answered
// heartbeats, although replies arrived all the time.
func TestLeaderWithLateFollowersKeepsItsTerm(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g, s := newSlowGroup(t, seed)
			s.set(0, 2*DefaultElectionTimeout/5)
			// The change of the delays causes a gap between two replies, and may cost the leader
			// its quorum.
			time.Sleep(acceptanceLimit)
			term := g.network.hosts[1].Status().Term
			time.Sleep(4 * acceptanceLimit)
			Expect(g.network.hosts[1].Status().Term).To(Equal(term), "seed %d", seed)
			Expect(g.awaitAccepted(acceptanceLimit)).To(BeNumerically("<", acceptanceLimit))
			s.set(0, 0)
			g.close()
		})
	}
}

// Guards against a group that accepts nothing for one to three seconds, repeatedly, while all its
// hosts are up.
//
// It comes about when syncs on the followers' disks take 0.5 to 0.9 s, for instance beside other
// writers. The logs show "stepped down" on the leader half a second after a change, and delays of
// the loop of 300 to 1,900 ms on the followers' disks; when the followers continue, they find no
// leader. The leader stepped down after 0.48 s without a reply, although its followers still
// followed it and would have answered.
func TestLeaderOutlastsStalledFollowers(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g, s := newSlowGroup(t, seed)
			l := g.leader(0)
			term := g.network.hosts[l].Status().Term
			s.exempt(l)
			for range 5 {
				s.set(3*DefaultElectionTimeout/2, 0)
				// The outcome of this change may be unknown to its caller.
				g.awaitAccepted(DefaultElectionTimeout)
				s.set(0, 0)
				Expect(g.awaitAccepted(acceptanceLimit)).To(BeNumerically("<", acceptanceLimit))
			}
			Expect(g.network.hosts[l].Status().Term).To(Equal(term), "seed %d", seed)
			g.close()
		})
	}
}
