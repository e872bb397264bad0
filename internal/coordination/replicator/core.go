package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// CoreSettings are the options of a Core. All times are those of the host's own monotonic clock.
type CoreSettings struct {
	Self        HostID
	Incarnation uint64
	// ElectionTimeout is the time without contact from the leader after which a follower may
	// campaign or vote for another host. The wait before a campaign is drawn between it and twice
	// its value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval time.Duration
	// LeaseDrift is the bound on how much further a follower's clock may advance than the leader's
	// during one ElectionTimeout. It is subtracted from a leader's lease.
	LeaseDrift time.Duration
	// MessageBytes bounds the size of the entries in one append.
	MessageBytes int
	// WindowMessages and WindowBytes bound the unanswered appends to one member.
	WindowMessages int
	WindowBytes    int
	// PendingBytes bounds the size of a leader's uncommitted entries.
	PendingBytes int
	// CatchUpEntries is the number of entries that a learner may lack when it becomes a voter.
	CatchUpEntries uint64
	Random         *rand.Rand
}

// indexedConfiguration is a configuration with the index of its entry.
type indexedConfiguration struct {
	index uint64
	Configuration
}

// Core is the consensus algorithm of one host as a state machine. It has no goroutine, socket, file
// or clock: its owner passes it messages, proposals and the time, after each of them carries out
// what Ready returns, in Ready's order, and then calls Advance. It is not safe for concurrent use.
type Core struct {
	settings CoreSettings

	// clock is the time of the last Tick or SetClock. It never decreases.
	clock time.Duration
	// hard is the current term and vote; saved is the last state that was persisted.
	hard, saved snapshotter.HardState
	role        Role
	// leader is the known leader of the term, 0 if unknown.
	leader HostID
	log    log
	// commit is the index of the highest entry known to be committed. It never decreases, and never
	// exceeds the end of the log.
	commit uint64
	// emitted is the index of the last committed entry that Ready returned. It exceeds neither
	// commit nor the persisted log.
	emitted uint64
	// configurations are the configurations in the log, preceded by the one at its base, in
	// ascending order of index. The last one is in force, committed or not.
	configurations []indexedConfiguration
	// snapshot is the latest snapshot on the disk.
	snapshot snapshotter.Metadata

	// campaignAt is the time at which a follower starts to campaign.
	campaignAt time.Duration
	// votesWithheldUntil is the time until which the host grants no votes, because a leader's lease
	// may depend on it.
	votesWithheldUntil time.Duration
	// leaderContactAt is the time of the last contact from the leader; leaderQuorumAge is the age
	// of the leader's quorum as reported then.
	leaderContactAt, leaderQuorumAge time.Duration
	// preVotes are the replies to this host's pre-vote requests, and votes those to its vote
	// requests in term votesTerm, by voter.
	preVotes, votes map[HostID]bool
	votesTerm       uint64
	// forced is set during a campaign that the old leader requested.
	forced bool

	leadership
	pending Ready
}

// Ready is what the owner of a Core has to do, in this order: send Early unless there is a
// HardState; persist HardState; drop the entries on the disk from TruncateFrom on (0 for none);
// persist Entries; send Early if it was not sent, and Messages; send the pieces in SnapshotSends;
// apply Committed; call Advance; and then store Pieces.
type Ready struct {
	HardState    *snapshotter.HardState
	TruncateFrom uint64
	Entries      []Entry
	// Early are a leader's appends. They may be sent while the leader's own disk is written,
	// because its own copy counts only after Advance.
	Early []Message
	// Messages must not be sent before the state and entries above are on the disk.
	Messages []Message
	// Pieces are snapshot pieces from the leader. The owner stores each and calls PieceStored.
	Pieces []Message
	// SnapshotSends are messages without their piece. The owner reads it from the snapshot at
	// Snapshot.Index and Snapshot.Offset, or calls SnapshotGone.
	SnapshotSends []Message
	Committed     []Entry
	// Ballots are the steps of elections, for observation.
	Ballots []ElectionEvent
	// Reads are the answers to reads.
	Reads []ReadState
}

// ReadState is the answer to a Read.
type ReadState struct {
	// ID is the ID that was passed to Read.
	ID uint64
	// Index is the index of the entry that must be applied before reading.
	Index uint64
	// Failed is set if the host is not, or no longer, the leader.
	Failed bool
}

// NewCore returns a follower with the state on its disk: the snapshot's metadata and configuration,
// the entries after it, and the hard state. If the state isn't empty, the host may have answered a
// leader just before it restarted, and a lease may depend on that answer: therefore it grants no
// votes for one ElectionTimeout.
func NewCore(s CoreSettings, hard snapshotter.HardState, snapshot snapshotter.Metadata, base Configuration, entries []Entry) (*Core, error) {
	c := &Core{settings: s, hard: hard, saved: hard, snapshot: snapshot}
	c.log.reset(snapshot.Index, snapshot.Term)
	c.commit, c.emitted = snapshot.Index, snapshot.Index
	c.configurations = []indexedConfiguration{{index: snapshot.Index, Configuration: base}}
	for _, e := range entries {
		if e.Index != c.log.last()+1 {
			return nil, errors.Errorf("entry %d follows entry %d", e.Index, c.log.last())
		}
		if err := c.push(e); err != nil {
			return nil, errors.Trace(err)
		}
	}
	c.log.persisted = c.log.last()
	if hard.Term > 0 || c.log.last() > 0 {
		c.votesWithheldUntil = s.ElectionTimeout
	}
	c.resetCampaign()
	return c, nil
}

// resume makes a core that NewCore has just created continue at the given time in a process whose
// state machine holds the entries up to emitted. It returns ErrStaleDisk if the log lacks some of
// them.
func (c *Core) resume(now time.Duration, emitted uint64) error {
	if c.log.last() < emitted {
		return errors.Trace(ErrStaleDisk{Last: c.log.last(), Acknowledged: emitted})
	}
	c.clock = now
	c.votesWithheldUntil += now
	c.commit = max(c.commit, emitted)
	c.emitted = c.commit
	c.resetCampaign()
	return nil
}

// push appends an entry, and puts its configuration in force if it holds one.
func (c *Core) push(e Entry) error {
	if e.Kind == EntryMembership {
		d, err := decodeConfiguration(e.Data)
		if err != nil {
			return errors.Annotatef(err, "entry %d", e.Index)
		}
		c.configurations = append(c.configurations, indexedConfiguration{index: e.Index, Configuration: d})
	}
	c.log.push(e)
	return nil
}

// Configuration returns the configuration in force.
func (c *Core) Configuration() Configuration {
	return c.configurations[len(c.configurations)-1].Configuration
}

// configurationIndex returns the index of the configuration in force.
func (c *Core) configurationIndex() uint64 { return c.configurations[len(c.configurations)-1].index }

// isVoter reports whether this host is a voter with the disk that the configuration names.
func (c *Core) isVoter() bool {
	m, ok := c.Configuration().Find(c.settings.Self)
	return ok && m.Voter && m.Incarnation == c.settings.Incarnation
}

// soleVoter reports whether this host is the only voter.
func (c *Core) soleVoter() bool { return c.isVoter() && c.Configuration().Voters() == 1 }

// resetCampaign draws the time of the next campaign.
func (c *Core) resetCampaign() {
	t := c.settings.ElectionTimeout
	c.campaignAt = c.clock + t + time.Duration(c.settings.Random.Int64N(int64(t)))
	if c.soleVoter() {
		c.campaignAt = c.clock
	}
}

// SetClock sets the time since a fixed origin, which must not decrease, without acting on timeouts.
// An owner that was delayed, for instance by its disk, calls it and passes on the waiting messages
// before it calls Tick: otherwise a follower would campaign, or a leader step down, although the
// messages that prevent it have arrived.
func (c *Core) SetClock(now time.Duration) { c.clock = max(c.clock, now) }

// DelayCampaign moves the next campaign back by d, the time for which a vote or a vote request
// waited for the disk, up to two election timeouts. The time for replies starts when the message is
// sent.
//
// Without it a host with a slow disk counts its own wait as missing replies: it campaigns again
// before its requests can be answered, and the term of the new campaign invalidates the replies.
func (c *Core) DelayCampaign(d time.Duration) {
	c.campaignAt += min(max(d, 0), 2*c.settings.ElectionTimeout)
}

// Tick sets the time and acts on expired timeouts.
func (c *Core) Tick(now time.Duration) {
	c.SetClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.clock >= c.campaignAt && c.isVoter() {
		c.campaign(false)
	}
}

// becomeFollower makes the host a follower of leader, 0 if unknown. A higher term clears the vote.
func (c *Core) becomeFollower(term uint64, leader HostID) {
	if term > c.hard.Term {
		c.hard = snapshotter.HardState{Term: term}
	}
	if c.role == Leader {
		c.failReads()
		c.leadership = leadership{}
	}
	if c.role != Follower {
		c.resetCampaign()
	}
	c.role = Follower
	c.leader = leader
	c.preVotes = nil
	c.forced = false
}

// Ready returns what is to be done now, and false if there is nothing to do. It must be followed by
// Advance.
func (c *Core) Ready() (Ready, bool) {
	c.serveReads()
	c.propagateCommit()
	rd := c.pending
	c.pending = Ready{}
	if c.hard != c.saved {
		h := c.hard
		rd.HardState = &h
	}
	rd.TruncateFrom = c.log.truncateFrom
	rd.Entries = c.log.between(c.log.persisted, c.log.last())
	rd.Committed = c.log.between(c.emitted, min(c.commit, c.log.persisted))
	busy := rd.HardState != nil || rd.TruncateFrom != 0 || len(rd.Entries) > 0 || len(rd.Early) > 0 ||
		len(rd.Messages) > 0 || len(rd.Pieces) > 0 || len(rd.SnapshotSends) > 0 || len(rd.Committed) > 0 || len(rd.Reads) > 0 || len(rd.Ballots) > 0
	return rd, busy
}

// Advance confirms that rd has been carried out.
func (c *Core) Advance(rd Ready) {
	if rd.HardState != nil {
		c.saved = *rd.HardState
	}
	if rd.TruncateFrom != 0 {
		c.log.truncateFrom = 0
	}
	if n := len(rd.Entries); n > 0 && c.log.holds(rd.Entries[n-1].Index, rd.Entries[n-1].Term) {
		c.log.persisted = max(c.log.persisted, rd.Entries[n-1].Index)
	}
	if n := len(rd.Committed); n > 0 {
		c.emitted = max(c.emitted, rd.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// send queues a message that must wait for the disk.
func (c *Core) send(m Message) { c.pending.Messages = append(c.pending.Messages, c.fillHeader(m)) }

// fillHeader sets the sender, the term and the receiver's incarnation.
func (c *Core) fillHeader(m Message) Message {
	m.From, m.FromIncarnation = c.settings.Self, c.settings.Incarnation
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	if m.ToIncarnation == 0 {
		to, _ := c.Configuration().Find(m.To)
		m.ToIncarnation = to.Incarnation
	}
	return m
}
