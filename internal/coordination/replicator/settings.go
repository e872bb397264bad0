package replicator

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// Defaults of Settings.
const (
	DefaultTickInterval      = 10 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultSnapshotEvery     = 100_000
	DefaultSnapshotBytes     = 64 << 20
	DefaultMessageBytes      = 256 << 10
	DefaultWindowMessages    = 64
	DefaultWindowBytes       = 4 << 20
	DefaultPendingBytes      = 32 << 20
	DefaultEntryBytes        = 4 << 20
	DefaultCatchUpEntries    = 100
	DefaultPieceBytes        = 256 << 10
)

// Transport sends messages to the other hosts of the group.
type Transport interface {
	// Send is best effort: it may lose, duplicate and reorder messages. It must not block for long,
	// and must not change the messages.
	Send(to HostID, ms []Message)
}

// StateMachine is the state machine to which the commands are applied. Its methods are called from
// one goroutine.
type StateMachine interface {
	// Apply applies a committed command, in the order of the log and without gaps. Its result is
	// returned by Propose, and must depend only on the commands applied so far.
	Apply(index uint64, data []byte) any
	// Snapshot writes the state after all commands applied so far.
	Snapshot(w io.Writer) error
	// Restore replaces the state by one that Snapshot wrote at index.
	Restore(r io.Reader, index uint64) error
}

// Freezer is a StateMachine that can apply commands while a snapshot is written. With any other,
// all changes wait until the snapshot is written.
type Freezer interface {
	StateMachine
	// Freeze returns a function that writes the state at the time of the call, as Snapshot would.
	// The function is called from another goroutine.
	Freeze() func(w io.Writer) error
}

// Settings are the options of a Replicator.
type Settings struct {
	// Group is the name of the group. It must be the same on all hosts.
	Group string
	// Self describes this host. Its ID must not be 0.
	Self Member
	// DataFolder is the path of the folder with all durable state of the host.
	DataFolder string
	// Bootstrap lists the initial voters, including Self. It must be the same on all of them. It is
	// used only while the host belongs to no group. The host with the lowest ID forms the group
	// once all others have confirmed that they are new. After that, as long as one host keeps its
	// disk, no second group can be formed.
	Bootstrap []Member
	// Rejoin means that the host may have restarted while the group was being formed. It then takes
	// part with Bootstrap as before if its disk shows that it did; otherwise it does only if a
	// majority of Bootstrap confirm that they do and belong to no group yet. A majority without a
	// group has acknowledged nothing.
	Rejoin bool
	// Join makes the host wait until it is added to a group.
	Join bool

	// TickInterval is the resolution of all timeouts; 0 means DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTimeout is the time without contact from the leader after which followers may elect
	// another one; 0 means DefaultElectionTimeout.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// LeaseDrift bounds how far two hosts' clocks may drift apart during one ElectionTimeout; 0
	// means a fifth of it. Reads under the lease are linearizable only within this bound; writes do
	// not depend on clocks.
	LeaseDrift time.Duration

	// SnapshotEvery is the number of entries, and SnapshotBytes the size of entries, after which a
	// snapshot is taken; 0 means DefaultSnapshotEvery and DefaultSnapshotBytes. The journal keeps
	// up to three times as much, and memory up to twice as much.
	SnapshotEvery uint64
	SnapshotBytes int64
	// JournalBytes bounds the size of the journal on the disk; 0 means
	// journaler.DefaultMaximumBytes.
	JournalBytes int64
	// PieceBytes is the size of the pieces in which snapshots are sent; 0 means DefaultPieceBytes.
	PieceBytes int
	// EntryBytes bounds the data of one proposal; 0 means DefaultEntryBytes.
	EntryBytes int
	// PendingBytes bounds the size of the uncommitted entries, and that of the unapplied ones; 0
	// means DefaultPendingBytes.
	PendingBytes int
	// MessageBytes, WindowMessages and WindowBytes bound the unanswered appends to one member; 0
	// means their defaults.
	MessageBytes   int
	WindowMessages int
	WindowBytes    int
	// CatchUpEntries is the number of entries that a learner may lack when it becomes a voter; 0
	// means DefaultCatchUpEntries.
	CatchUpEntries uint64

	// Now returns the current time; nil means time.Now, whose readings are monotonic.
	Now func() time.Time
	// Random draws election timeouts and incarnations; nil means a randomly seeded source.
	Random *rand.Rand
	// FileSystem is used for all files; nil means journaler.Disk.
	FileSystem journaler.FileSystem
	// Log receives messages for operators.
	Log zerolog.Logger
	// Observe receives events, from one goroutine at a time. It must not block or call the
	// Replicator. It may be nil.
	Observe func(Observation)
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.TickInterval, DefaultTickInterval)
	setDefault(&s.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&s.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&s.LeaseDrift, s.ElectionTimeout/5)
	setDefault(&s.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&s.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&s.JournalBytes, journaler.DefaultMaximumBytes)
	setDefault(&s.PieceBytes, DefaultPieceBytes)
	setDefault(&s.EntryBytes, DefaultEntryBytes)
	setDefault(&s.PendingBytes, DefaultPendingBytes)
	setDefault(&s.MessageBytes, DefaultMessageBytes)
	setDefault(&s.WindowMessages, DefaultWindowMessages)
	setDefault(&s.WindowBytes, DefaultWindowBytes)
	setDefault(&s.CatchUpEntries, DefaultCatchUpEntries)
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if s.FileSystem == nil {
		s.FileSystem = journaler.Disk{}
	}
	if s.Observe == nil {
		s.Observe = func(Observation) {}
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// check returns an error if the settings are invalid.
func (s Settings) check() error {
	switch {
	case s.Group == "":
		return errors.New("group name is empty")
	case s.Self.ID == 0:
		return errors.New("host ID is 0")
	case s.DataFolder == "":
		return errors.New("data folder is not set")
	case s.HeartbeatInterval*2 > s.ElectionTimeout:
		return errors.Errorf("heartbeat interval %s exceeds half of the election timeout %s", s.HeartbeatInterval, s.ElectionTimeout)
	case s.LeaseDrift >= s.ElectionTimeout:
		return errors.Errorf("lease drift %s is not below the election timeout %s", s.LeaseDrift, s.ElectionTimeout)
	case s.Join && len(s.Bootstrap) > 0:
		return errors.New("a host can't both bootstrap and join")
	case s.Rejoin && len(s.Bootstrap) == 0:
		return errors.New("a host can't rejoin without a bootstrap list")
	case len(s.Bootstrap) > 0 && !containsMember(s.Bootstrap, s.Self.ID):
		return errors.Errorf("host %d is not in its bootstrap list", s.Self.ID)
	}
	return nil
}

func containsMember(members []Member, id HostID) bool {
	_, ok := Configuration{Members: members}.Find(id)
	return ok
}

// core returns the settings of the Core.
func (s Settings) core(incarnation uint64) CoreSettings {
	return CoreSettings{
		Self: s.Self.ID, Incarnation: incarnation,
		ElectionTimeout: s.ElectionTimeout, HeartbeatInterval: s.HeartbeatInterval, LeaseDrift: s.LeaseDrift,
		MessageBytes: s.MessageBytes, WindowMessages: s.WindowMessages, WindowBytes: s.WindowBytes,
		PendingBytes: s.PendingBytes, CatchUpEntries: s.CatchUpEntries, Random: s.Random,
	}
}
