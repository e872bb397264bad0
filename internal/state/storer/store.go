package storer

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// Settings are a store's options. The zero value is ready for use.
type Settings struct {
	// Retention is in force until a SetRetention command is applied. It must be
	// the same on all hosts of a control group.
	Retention Retention
}

// Store is the state machine of the replicated log. Apply, Restore and Snapshot
// are called by one goroutine at a time; all other methods may be called by any
// goroutine at any time.
type Store struct {
	// applying is held while a command is applied or the state is replaced, and
	// guards the fields of this block.
	applying sync.Mutex
	// applied is the log index of the last applied command.
	applied uint64
	// now is the state's time. It never decreases.
	now       Instant
	retention Retention
	// hashes maps the hash of every caller's key, over all workspaces, to its
	// resource: a bearer key must identify exactly one workspace.
	hashes map[[hashLength]byte]Key
	// claims, records, retired, departures and releases count and order the items
	// that expire.
	claims, records, retired, departures, releases expiryQueue

	// shards hold the state; each has its own lock. A command writes to one
	// shard, and publishes its revision while it holds that shard's lock: a
	// reader that holds a shard's lock therefore reads a revision that covers
	// all changes of the shard.
	shards [shardCount]shard

	// history has its own lock, which is acquired after a shard's.
	history history
	// revision is the index of the last command that changed a resource.
	revision atomic.Uint64
}

// NewStore returns an empty store.
func NewStore(s Settings) *Store {
	st := &Store{retention: s.Retention.withDefaults(), hashes: map[[hashLength]byte]Key{}}
	for i := range st.shards {
		st.shards[i].spaces = map[string]*space{}
	}
	st.history.init()
	return st
}

// Apply applies the command encoded in data, which has the given index in the
// log, and returns a Result. An index that has already been applied is skipped
// with VerdictStale: a log may replay entries that a snapshot already covers, and
// the results of their first application are no longer known.
func (s *Store) Apply(index uint64, data []byte) any {
	e, err := Decode(data)
	s.applying.Lock()
	defer s.applying.Unlock()
	if index <= s.applied {
		return Result{Verdict: VerdictStale, Reason: "the log position was applied before"}
	}
	s.applied = index
	if err != nil {
		return Result{Verdict: VerdictInvalid, Reason: err.Error()}
	}
	s.advanceTime(e.Time)
	s.expire()
	return s.applyIdempotent(index, e)
}

// advanceTime advances the state's time towards a leader's clock, by at most
// maxTimeStep.
func (s *Store) advanceTime(t Instant) {
	if s.now != 0 {
		t = min(t, s.now+maxTimeStep)
	}
	s.now = max(s.now, t)
}

// applyIdempotent applies the command of e, or returns the first result if the
// change was resent.
func (s *Store) applyIdempotent(index uint64, e Envelope) Result {
	if e.IdempotencyKey == "" {
		return s.apply(index, e.Command)
	}
	workspace := workspaceOf(e.Command)
	if r, ok := s.replayedResult(workspace, e); ok {
		return r
	}
	if len(e.IdempotencyKey) > MaxIdempotencyKey {
		return invalid(errors.Errorf("idempotency key of %d bytes; up to %d are allowed", len(e.IdempotencyKey), MaxIdempotencyKey))
	}
	if s.records.count >= s.retention.MaxRecords {
		return Result{Verdict: VerdictFull, Reason: "too many idempotency records"}
	}
	result := s.apply(index, e.Command)
	s.storeRecord(record{
		Workspace: workspace,
		Key:       e.IdempotencyKey,
		Digest:    e.Digest,
		Result:    result,
		Index:     index,
		Time:      s.now,
	})
	return result
}

func (s *Store) apply(index uint64, c Command) Result {
	switch c := c.(type) {
	case PutResource:
		return s.putResource(index, c)
	case DeleteResource:
		return s.deleteResource(index, c)
	case ClaimCall:
		return s.claimCall(index, c)
	case SettleClaim:
		return s.settleClaim(index, c)
	case JoinMember:
		return s.joinMember(index, c)
	case LeaveMember:
		return s.leaveMember(index, c)
	case ExpireMembers:
		return s.expireMembers(index, c)
	case PutRouting:
		return s.putRouting(index, c)
	case NameNewest:
		return s.nameNewest(index, c)
	case AnnounceMember:
		return s.announceMember(index, c)
	case RetireMember:
		return s.retireMember(index, c)
	case CountEnds:
		return s.countEnds(index, c)
	case ClearSuspects:
		return s.clearSuspects(index, c)
	case ReviewSuspects:
		return s.reviewSuspects(index, c)
	case CountPartEnds:
		return s.countPartEnds(index, c)
	case CountPartAnswers:
		return s.countPartAnswers(index, c)
	case ReviewParts:
		return s.reviewParts(index, c)
	case SetRetention:
		s.retention = c.Retention.withDefaults()
		s.history.trim(s.retention.HistoryChanges)
		return Result{}
	default:
		return invalid(errors.Errorf("unknown command %T", c))
	}
}

// workspaceOf returns the workspace whose idempotency keys the command uses.
func workspaceOf(c Command) string {
	switch c := c.(type) {
	case PutResource:
		return c.Resource.Key().normalized().Workspace
	case DeleteResource:
		return c.Key.normalized().Workspace
	case ClaimCall:
		return c.Workspace
	case SettleClaim:
		return c.Workspace
	default:
		return ""
	}
}

func invalid(err error) Result { return Result{Verdict: VerdictInvalid, Reason: err.Error()} }

func (s *Store) shard(workspace string) *shard { return &s.shards[shardIndex(workspace)] }

// publish makes the changes of one command visible to watchers. The caller
// holds the write lock of the shard that contains them.
func (s *Store) publish(index uint64, changes ...Change) {
	s.history.append(s.retention.HistoryChanges, changes)
	s.revision.Store(index)
	s.history.notify()
}
