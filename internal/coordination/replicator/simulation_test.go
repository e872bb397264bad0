package replicator

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// Times of the simulation. A step is a heartbeat interval of several ticks, so that an election can
// take place within the duration of a lease.
const (
	simulatedTick    = 10 * time.Millisecond
	simulatedStep    = 4 * simulatedTick
	simulatedTimeout = 4 * simulatedStep
)

// chain is a state machine whose state is a hash of all commands so far.
type chain struct{ index, hash uint64 }

func (c *chain) Apply(index uint64, data []byte) any {
	c.index = index
	for _, b := range data {
		c.hash = c.hash*1099511628211 + uint64(b)
	}
	return nil
}

func (c *chain) Snapshot(w io.Writer) error {
	return binary.Write(w, binary.LittleEndian, []uint64{c.index, c.hash})
}

func (c *chain) Restore(r io.Reader, _ uint64) error {
	var v [2]uint64
	err := binary.Read(r, binary.LittleEndian, &v)
	c.index, c.hash = v[0], v[1]
	return err
}

// simulatedHost is a host with a simulated disk; replica is nil while it is down.
type simulatedHost struct {
	id      HostID
	disk    *disker.Disk
	replica *replica
	applier *applier
	// suspended is set while the files have to be opened again after a failure of the disk.
	suspended bool
	// rejoin is Settings.Rejoin.
	rejoin bool
	// offset is the sum of the jumps of the host's clock.
	offset time.Duration
	// startedAt is the time on the host's clock at its start.
	startedAt time.Duration
}

// simulation runs hosts on simulated networks, clocks and disks, and checks the invariants after
// each step.
type simulation struct {
	fail    func(format string, args ...any)
	random  *rand.Rand
	hosts   []*simulatedHost
	voters  []Member
	now     time.Duration
	network []Message
	// messageBytes is CoreSettings.MessageBytes; 1 sends each entry in a message of its own.
	messageBytes int
	cut          map[[2]HostID]bool
	// delayedLinks are the links whose messages are held back.
	delayedLinks map[[2]HostID]bool
	// leaders holds the leader of each term, committed the committed entries, and hashes the state
	// after each entry.
	leaders         map[uint64]HostID
	committed       []Entry
	hashes          map[uint64]uint64
	proposed        uint64
	appliedCommands map[string]bool
	// reads holds the number of committed entries at the start of each read. clockJumped is set
	// once a clock has jumped, so that leases are no longer sound.
	reads       []int
	clockJumped bool
	// votes holds the host that got the vote of each disk in each term.
	votes map[ballot]HostID
	// elections, faults and diskFailures count the events of the run.
	elections, faults, diskFailures int
}

// ballot identifies the only vote that a disk has in a term.
type ballot struct{ incarnation, term uint64 }

// newSimulation starts the given numbers of voters and spare hosts.
func newSimulation(fail func(string, ...any), random *rand.Rand, voters, spares, messageBytes int) *simulation {
	s := &simulation{
		fail: fail, random: random, cut: make(map[[2]HostID]bool), delayedLinks: make(map[[2]HostID]bool), leaders: make(map[uint64]HostID),
		messageBytes: messageBytes,
		hashes:       make(map[uint64]uint64), appliedCommands: make(map[string]bool), votes: make(map[ballot]HostID),
	}
	for i := 1; i <= voters; i++ {
		s.voters = append(s.voters, Member{ID: HostID(i), Address: fmt.Sprint(i)})
	}
	for i := 1; i <= voters+spares; i++ {
		h := &simulatedHost{id: HostID(i), disk: disker.NewDisk(random)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

// start opens a host on its disk. A fault armed on the disk may crash it immediately.
func (s *simulation) start(h *simulatedHost) {
	settings := Settings{
		Group: "simulated", Self: Member{ID: h.id, Address: fmt.Sprint(h.id)}, DataFolder: "/data",
		ElectionTimeout: simulatedTimeout, HeartbeatInterval: simulatedStep, LeaseDrift: simulatedTick, PieceBytes: 64,
		SnapshotEvery: 8, CatchUpEntries: 4, MessageBytes: s.messageBytes, Random: s.random, FileSystem: h.disk,
		// The simulated disks take no time.
		Now: func() time.Time { return time.Time{} },
	}.withDefaults()
	if int(h.id) <= len(s.voters) {
		settings.Bootstrap, settings.Rejoin = s.voters, h.rejoin
	}
	r := newReplica(settings)
	a := &applier{machine: &chain{}, store: r.store, observe: settings.Observe}
	r.send = s.send
	r.onCommit = func(es []Entry) { s.apply(h, es) }
	r.onInstall = func(snapshotter.Metadata) { s.restore(h) }
	r.onRead = func(a ReadState) { s.checkRead(h, a) }
	h.replica, h.applier = r, a
	h.startedAt = s.now + h.offset
	if err := r.open(); err != nil {
		s.handleFailure(h, err)
		return
	}
	s.restore(h)
}

// send checks and sends messages.
func (s *simulation) send(ms []Message) {
	for _, m := range ms {
		vote := m.From
		switch {
		case m.Kind == VoteReply && !m.Rejected:
			vote = m.To
		case m.Kind != VoteRequest:
			continue
		}
		b := ballot{incarnation: m.FromIncarnation, term: m.Term}
		if given, ok := s.votes[b]; ok && given != vote {
			s.fail("host %d voted for hosts %d and %d in term %d", m.From, given, vote, m.Term)
		}
		s.votes[b] = vote
	}
	s.network = append(s.network, ms...)
}

// handleFailure suspends the host after a failure of its disk, and takes it down if the disk has
// crashed; any other error fails the test.
func (s *simulation) handleFailure(h *simulatedHost, err error) {
	if !isDiskError(err) {
		s.crashOrFail(h, err)
		return
	}
	if !h.suspended {
		h.replica.suspend()
	}
	h.suspended = true
	s.diskFailures++
}

// reopen opens the files of a suspended host again.
func (s *simulation) reopen(h *simulatedHost) {
	err := probe(h.disk, "/data")
	if err == nil {
		err = h.replica.reopen(s.now + h.offset - h.startedAt)
	}
	if err != nil {
		s.handleFailure(h, err)
		return
	}
	h.suspended = false
}

// running reports whether the host is neither down nor suspended.
func (h *simulatedHost) running() bool { return h.replica != nil && !h.suspended }

// crashOrFail takes the host down if its disk has crashed; any other error fails the test.
func (s *simulation) crashOrFail(h *simulatedHost, err error) {
	if !h.crashed() {
		s.fail("host %d: %v", h.id, err)
	}
	h.replica, h.applier, h.suspended = nil, nil, false
	s.faults++
}

func (h *simulatedHost) crashed() bool {
	_, err := h.disk.List("/data")
	return err != nil
}

func (s *simulation) restore(h *simulatedHost) {
	if err := h.applier.restore(); err != nil {
		s.fail("host %d: %v", h.id, err)
	}
	s.checkState(h)
}

// apply checks that all hosts apply the same entries, and each command only once.
func (s *simulation) apply(h *simulatedHost, es []Entry) {
	for _, e := range es {
		known := uint64(len(s.committed))
		switch {
		case e.Index > known+1:
			s.fail("host %d applied entry %d before entry %d was committed", h.id, e.Index, known+1)
		case e.Index == known+1:
			if e.Kind == EntryCommand && s.appliedCommands[string(e.Data)] {
				s.fail("command %x was applied twice", e.Data)
			}
			s.appliedCommands[string(e.Data)] = e.Kind == EntryCommand
			s.committed = append(s.committed, e)
		case s.committed[e.Index-1].Term != e.Term:
			s.fail("host %d applied entry %d of term %d, which was committed with term %d", h.id, e.Index, e.Term, s.committed[e.Index-1].Term)
		}
		if _, err := h.applier.apply(e); err != nil {
			s.fail("host %d: %v", h.id, err)
		}
		s.checkState(h)
	}
}

// checkState compares the state after an entry with that of the other hosts.
func (s *simulation) checkState(h *simulatedHost) {
	at, hash := h.applier.applied, h.applier.machine.(*chain).hash
	if old, ok := s.hashes[at]; ok && old != hash {
		s.fail("state of host %d differs after entry %d", h.id, at)
	}
	s.hashes[at] = hash
}

// advanceHost carries out the output of a host, and then checks its leadership.
func (s *simulation) advanceHost(h *simulatedHost, err error) {
	if err == nil {
		err = h.replica.advance()
	}
	if err == nil && h.applier.snapshotDue(h.replica.settings, s.now) {
		var m snapshotter.Metadata
		var taken bool
		m, taken, err = h.applier.save(h.applier.freeze(), time.Now, func() time.Duration { return s.now })
		if taken {
			err = h.replica.compact(m)
		} else if h.applier.retryAt > 0 {
			s.diskFailures++
		}
	}
	if err != nil {
		s.handleFailure(h, err)
		return
	}
	c := h.replica.core
	if c.role != Leader {
		return
	}
	if old, ok := s.leaders[c.hard.Term]; ok && old != h.id {
		s.fail("hosts %d and %d both lead in term %d", old, h.id, c.hard.Term)
	}
	if _, ok := s.leaders[c.hard.Term]; ok {
		return
	}
	s.leaders[c.hard.Term] = h.id
	s.elections++
	for _, e := range s.committed {
		if e.Index > c.log.base && !c.log.holds(e.Index, e.Term) {
			s.fail("host %d leads in term %d without committed entry %d", h.id, c.hard.Term, e.Index)
		}
	}
}

// tick advances the time on all hosts by one tick.
func (s *simulation) tick() {
	s.now += simulatedTick
	for _, h := range s.hosts {
		if h.suspended {
			s.reopen(h)
		}
		if !h.running() {
			continue
		}
		now := s.now + h.offset - h.startedAt
		h.replica.core.Tick(now)
		if f := h.replica.bootstrapper; f != nil {
			h.replica.emit(f.tick(now, simulatedStep))
		}
		s.advanceHost(h, nil)
	}
}

// deliver delivers the messages in flight. If faulty, some are lost, duplicated or delayed, in
// random order.
func (s *simulation) deliver(faulty bool) {
	batch := s.network
	s.network = nil
	if faulty {
		s.random.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	}
	for _, m := range batch {
		if s.delayedLinks[[2]HostID{m.From, m.To}] {
			s.network = append(s.network, m)
			continue
		}
		if faulty {
			switch roll := s.random.IntN(100); {
			case roll < 4:
				continue
			case roll < 8:
				s.network = append(s.network, m)
			case roll < 25:
				s.network = append(s.network, m)
				continue
			}
		}
		s.deliverOne(m)
		s.checkLeases()
	}
}

// checkLeases checks that a host whose lease holds has all committed entries, because reads under
// the lease are answered from its state.
func (s *simulation) checkLeases() {
	for _, h := range s.hosts {
		if !h.running() || s.clockJumped {
			continue
		}
		c := h.replica.core
		if c.clock < c.LeaseUntil() && c.commit < uint64(len(s.committed)) {
			s.fail("host %d has a lease in term %d but only %d of %d committed entries", h.id, c.hard.Term, c.commit, len(s.committed))
		}
	}
}

// read starts a read on a host.
func (s *simulation) read(h *simulatedHost) {
	if !h.running() {
		return
	}
	s.reads = append(s.reads, len(s.committed))
	h.replica.core.Read(uint64(len(s.reads) - 1))
	s.advanceHost(h, nil)
}

// checkRead checks that a read sees all entries committed before it started.
func (s *simulation) checkRead(h *simulatedHost, a ReadState) {
	if !a.Failed && !s.clockJumped && a.Index < uint64(s.reads[a.ID]) {
		s.fail("read on host %d sees %d entries, but %d were committed when it started", h.id, a.Index, s.reads[a.ID])
	}
}

// deliverOne delivers one message unless its link is cut.
func (s *simulation) deliverOne(m Message) {
	h := s.hosts[m.To-1]
	if !h.running() || s.cut[[2]HostID{m.From, m.To}] {
		return
	}
	s.advanceHost(h, h.replica.step(m))
}

// run advances the simulation by some steps.
func (s *simulation) run(steps int, faulty bool) {
	for range steps * int(simulatedStep/simulatedTick) {
		s.tick()
		s.deliver(faulty)
	}
}

// propose proposes a new command on a host.
func (s *simulation) propose(h *simulatedHost) {
	if !h.running() {
		return
	}
	s.proposed++
	data := binary.LittleEndian.AppendUint64(nil, s.proposed)
	if _, _, err := h.replica.core.Propose(data); err == nil {
		s.advanceHost(h, nil)
	}
}

// change proposes a random change of the membership on a host.
func (s *simulation) change(h *simulatedHost) {
	if !h.running() {
		return
	}
	id := HostID(s.random.IntN(len(s.hosts)) + 1)
	changes := []Change{AddLearner{Member{ID: id, Address: fmt.Sprint(id)}}, PromoteLearner{id}, PromoteLearner{id}, RemoveMember{id}}
	if _, _, err := h.replica.core.ProposeChange(changes[s.random.IntN(len(changes))]); err == nil {
		s.advanceHost(h, nil)
	}
}

// wipe loses a host's disk, provided that every configuration that is or may come into force keeps
// a majority of the disks that it names.
func (s *simulation) wipe(h *simulatedHost) {
	if slices.ContainsFunc(s.hosts, func(o *simulatedHost) bool { return !o.running() }) {
		return
	}
	for _, o := range s.hosts {
		for _, c := range o.replica.core.configurations {
			if c.index < s.lastChange() {
				continue
			}
			left := 0
			for _, m := range c.Members {
				if m.Voter && m.ID != h.id && s.hosts[m.ID-1].replica.identity.Incarnation == m.Incarnation {
					left++
				}
			}
			if len(c.Members) > 0 && left < c.Quorum() {
				return
			}
		}
	}
	h.replica, h.applier = nil, nil
	h.disk.Crash()
	h.disk.Restart()
	h.disk.Wipe()
	s.faults++
	s.start(h)
	// A change of the membership at the moment of the loss would be a second loss; after an
	// election timeout the leader refuses it.
	s.run(int(simulatedTimeout/simulatedStep)+1, true)
}

// restart starts a host if it is down.
func (s *simulation) restart(h *simulatedHost) {
	if h.replica == nil {
		h.disk.Restart()
		s.start(h)
	}
}

// endFaults heals all links and disks, and starts the hosts that are down.
func (s *simulation) endFaults() {
	s.cut, s.delayedLinks = make(map[[2]HostID]bool), make(map[[2]HostID]bool)
	for _, h := range s.hosts {
		h.disk.CrashIn(0)
		h.disk.StopIn(0)
		h.disk.FillIn(0)
		h.disk.FailSyncIn(0)
		h.disk.Fill(false)
		if h.crashed() {
			// The host may not have noticed yet: it ignores the error of a removal after a failure.
			h.replica, h.applier, h.suspended = nil, nil, false
		}
		s.restart(h)
	}
}

// heal ends all faults, and checks that the group commits a proposal and that its hosts agree.
func (s *simulation) heal() {
	s.endFaults()
	s.run(60, false)
	before := len(s.committed)
	for _, h := range s.hosts {
		s.propose(h)
	}
	s.run(60, false)
	if len(s.committed) == before {
		s.fail("no proposal was committed after all faults had ended")
	}
	for _, h := range s.hosts {
		m, ok := Configuration{Members: s.lastConfiguration()}.Find(h.id)
		if ok && m.Incarnation == h.replica.identity.Incarnation && h.applier.applied != uint64(len(s.committed)) {
			s.fail("host %d applied only %d of %d entries", h.id, h.applier.applied, len(s.committed))
		}
	}
}

// lastConfiguration returns the members of the last committed configuration.
func (s *simulation) lastConfiguration() []Member {
	if at := s.lastChange(); at > 0 {
		c, _ := decodeConfiguration(s.committed[at-1].Data)
		return c.Members
	}
	return nil
}

// lastChange returns the index of the last committed configuration, 0 if there is none.
func (s *simulation) lastChange() uint64 {
	for _, e := range slices.Backward(s.committed) {
		if e.Kind == EntryMembership {
			return e.Index
		}
	}
	return 0
}
