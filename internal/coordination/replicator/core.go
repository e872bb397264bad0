package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// CoreSettings are the options of a Core. All times are of the host's own
// monotonic clock.
type CoreSettings struct {
	Self        HostID
	Incarnation uint64
	// ElectionTimeout is how long a follower waits for its leader before it
	// may campaign or vote for another one. The wait before a campaign is
	// drawn between it and twice it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval time.Duration
	// LeaseDrift is the bound on how much more than the leader's clock a
	// follower's may advance during one ElectionTimeout. A leader's lease is
	// shorter by it.
	LeaseDrift time.Duration
	// MessageBytes bounds the entries of one append.
	MessageBytes int
	// WindowMessages and WindowBytes bound the unanswered appends to a member.
	WindowMessages int
	WindowBytes    int
	// PendingBytes bounds the entries that a leader has not committed yet.
	PendingBytes int
	// CatchUpEntries is how far behind a learner may be to become a voter.
	CatchUpEntries uint64
	Random         *rand.Rand
}

// boundConfiguration is a configuration with the entry that brought it.
type boundConfiguration struct {
	index uint64
	Configuration
}

// Core is the consensus of one host as a state machine. It has no goroutine,
// socket, file or clock: its owner hands it messages, proposals and the time,
// and after each of them carries out what Ready returns, in Ready's order, then
// calls Advance.
type Core struct {
	settings CoreSettings

	// clock is the time of the last Tick. It never falls.
	clock time.Duration
	// hard is the present term and vote; saved is the one handed out to be
	// persisted.
	hard, saved snapshotter.HardState
	role        Role
	// leader is the known leader of the term, 0 for none.
	leader HostID
	log    log
	// commit is the highest entry known to be committed. It never falls, and
	// never passes the log's end.
	commit uint64
	// handed is the last committed entry handed out by Ready. It never passes
	// commit nor what is persisted.
	handed uint64
	// configurations are those in the log and the one before it, in rising
	// order of index; the last one is in force, committed or not.
	configurations []boundConfiguration
	// snapshot is the latest snapshot on the disk.
	snapshot snapshotter.Metadata

	// campaignAt is when a follower begins to campaign.
	campaignAt time.Duration
	// promisedUntil is until when the host votes for nobody, because a leader
	// may rely on it.
	promisedUntil time.Duration
	// heardAt is when the leader was last heard, heardAge the age of its
	// quorum as it said then.
	heardAt, heardAge time.Duration
	// preVotes are the answers to the question whether votes would be given, and
	// votes those of term votesOf in which this host stands, by voter.
	preVotes, votes map[HostID]bool
	votesOf         uint64
	// forced is set in a campaign which the old leader asked for.
	forced bool

	leadership
	out Ready
}

// Ready is what the owner of a Core has to do, in this order: send Early unless
// there is a HardState; persist HardState; drop the disk's entries from
// TruncateFrom on (0 for none); persist Entries; send Early if it was not sent,
// and Messages; send what SnapshotSends ask for; apply Committed; Advance; and
// then store Pieces.
type Ready struct {
	HardState    *snapshotter.HardState
	TruncateFrom uint64
	Entries      []Entry
	// Early are a leader's appends. They may travel while the leader's own
	// disk is written, because its own copy counts only after Advance.
	Early []Message
	// Messages promise something that must be on the disk first.
	Messages []Message
	// Pieces are pieces of a snapshot from the leader. The owner stores each
	// and calls PieceStored.
	Pieces []Message
	// SnapshotSends are messages that lack their piece. The owner reads it
	// from the snapshot at Snapshot.Index and Snapshot.Offset, or calls
	// SnapshotGone.
	SnapshotSends []Message
	Committed     []Entry
	// Ballots are the steps of elections, to be observed.
	Ballots []ElectionEvent
	// Reads are reads whose state is that of the given commit index.
	Reads []ReadState
}

// ReadState answers a Read.
type ReadState struct {
	// ID is the one given to Read.
	ID uint64
	// Index is the entry that must be applied before reading.
	Index uint64
	// Failed says that the host is not, or no longer, the leader.
	Failed bool
}

// NewCore returns a follower with the state that its disk holds: the snapshot's
// metadata and configuration, the entries after it, and the hard state. A host
// whose state isn't empty may have answered a leader just before it restarted,
// and so keeps silent for one ElectionTimeout.
func NewCore(s CoreSettings, hard snapshotter.HardState, snapshot snapshotter.Metadata, base Configuration, entries []Entry) (*Core, error) {
	c := &Core{settings: s, hard: hard, saved: hard, snapshot: snapshot}
	c.log.reset(snapshot.Index, snapshot.Term)
	c.commit, c.handed = snapshot.Index, snapshot.Index
	c.configurations = []boundConfiguration{{index: snapshot.Index, Configuration: base}}
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
		c.promisedUntil = s.ElectionTimeout
	}
	c.resetCampaign()
	return c, nil
}

// push appends an entry and takes up a configuration that it holds.
func (c *Core) push(e Entry) error {
	if e.Kind == EntryMembership {
		d, err := decodeConfiguration(e.Data)
		if err != nil {
			return errors.Annotatef(err, "entry %d", e.Index)
		}
		c.configurations = append(c.configurations, boundConfiguration{index: e.Index, Configuration: d})
	}
	c.log.push(e)
	return nil
}

// Configuration returns the configuration in force.
func (c *Core) Configuration() Configuration {
	return c.configurations[len(c.configurations)-1].Configuration
}

// changeIndex returns the entry of the configuration in force.
func (c *Core) changeIndex() uint64 { return c.configurations[len(c.configurations)-1].index }

// isVoter reports whether this host is a voter with the disk that the group knows.
func (c *Core) isVoter() bool {
	m, ok := c.Configuration().Find(c.settings.Self)
	return ok && m.Voter && m.Incarnation == c.settings.Incarnation
}

// soleVoter reports whether this host alone is a majority.
func (c *Core) soleVoter() bool { return c.isVoter() && c.Configuration().Voters() == 1 }

// resetCampaign draws the time of the next campaign.
func (c *Core) resetCampaign() {
	t := c.settings.ElectionTimeout
	c.campaignAt = c.clock + t + time.Duration(c.settings.Random.Int64N(int64(t)))
	if c.soleVoter() {
		c.campaignAt = c.clock
	}
}

// SetClock tells the time since some origin, which must not fall, without acting
// on it. An owner that was held up, by its disk perhaps, calls it and passes on
// the messages that wait before it calls Tick: else a follower would campaign,
// and a leader step down, for want of messages that have arrived.
func (c *Core) SetClock(now time.Duration) { c.clock = max(c.clock, now) }

// DelayCampaign tells that a vote or a request for votes, which is sent only now, has waited
// for the disk. The time for the answers begins with the sending.
//
// Without this a host whose disk is slow takes its own wait for the others' silence: it
// campaigns anew before its request could be answered, and the term of the new campaign
// makes the answer void.
func (c *Core) DelayCampaign(d time.Duration) {
	c.campaignAt += min(max(d, 0), 2*c.settings.ElectionTimeout)
}

// Tick tells the time and acts on the timeouts that have passed.
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

// becomeFollower leaves any other role. A rise of the term clears the vote.
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

// Ready returns what is to be done now, and false where there is nothing. It
// must be followed by Advance.
func (c *Core) Ready() (Ready, bool) {
	c.serveReads()
	c.spreadCommit()
	rd := c.out
	c.out = Ready{}
	if c.hard != c.saved {
		h := c.hard
		rd.HardState = &h
	}
	rd.TruncateFrom = c.log.truncateFrom
	rd.Entries = c.log.between(c.log.persisted, c.log.last())
	rd.Committed = c.log.between(c.handed, min(c.commit, c.log.persisted))
	busy := rd.HardState != nil || rd.TruncateFrom != 0 || len(rd.Entries) > 0 || len(rd.Early) > 0 ||
		len(rd.Messages) > 0 || len(rd.Pieces) > 0 || len(rd.SnapshotSends) > 0 || len(rd.Committed) > 0 || len(rd.Reads) > 0 || len(rd.Ballots) > 0
	return rd, busy
}

// Advance tells that rd was carried out.
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
		c.handed = max(c.handed, rd.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// send queues a message which must wait for the disk.
func (c *Core) send(m Message) { c.out.Messages = append(c.out.Messages, c.stamp(m)) }

// stamp fills in the sender and the receiver's incarnation.
func (c *Core) stamp(m Message) Message {
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
