package storer

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// Settings are a store's options. The zero value is ready for use.
type Settings struct {
	// Retention holds until a SetRetention command is applied. It must be the
	// same on all hosts of a group.
	Retention Retention
}

// Store is the state machine of the replicated log. Apply, Restore and Snapshot
// are called by one goroutine at a time; all other methods may be called by any
// goroutine at any time.
type Store struct {
	// applying is held while a command is applied or the state replaced, and
	// guards the fields of this block.
	applying sync.Mutex
	// applied is the log index of the last command applied.
	applied uint64
	// now is the state's time. It never goes back.
	now       Instant
	retention Retention
	// hashes holds the hash of every caller's key, over all workspaces: a
	// bearer key must lead to one workspace only.
	hashes map[[hashLength]byte]Key
	// claims, records, retired and departures count and age what expires.
	claims, records, retired, departures aging

	// shards hold the state; each has its own lock. A command writes to one
	// shard, and publishes its revision while it holds that shard's lock: who
	// holds a shard's lock sees a revision which covers all of the shard.
	shards [shardCount]shard

	// history has its own lock, taken after a shard's.
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

// Apply applies the command encoded in data, which the log holds at index, and
// returns a Result. An index which was applied before is passed over with
// VerdictStale: a log may hand entries again that a snapshot already covers, and
// what became of them the first time is not known any more.
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
	s.advance(e.Time)
	s.expire()
	return s.applyOnce(index, e)
}

// advance moves the state's time towards a leader's clock.
func (s *Store) advance(t Instant) {
	if s.now != 0 {
		t = min(t, s.now+maxTimeStep)
	}
	s.now = max(s.now, t)
}

// applyOnce gives the first answer again where the change was resent.
func (s *Store) applyOnce(index uint64, e Envelope) Result {
	if e.IdempotencyKey == "" {
		return s.apply(index, e.Command)
	}
	workspace := workspaceOf(e.Command)
	if r, ok := s.replay(workspace, e); ok {
		return r
	}
	if len(e.IdempotencyKey) > MaxIdempotencyKey {
		return invalid(errors.Errorf("idempotency key of %d bytes; up to %d are allowed", len(e.IdempotencyKey), MaxIdempotencyKey))
	}
	if s.records.live >= s.retention.MaxRecords {
		return Result{Verdict: VerdictFull, Reason: "too many idempotency records"}
	}
	result := s.apply(index, e.Command)
	s.remember(record{
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
// holds the lock of the shard which holds them, for writing.
func (s *Store) publish(index uint64, changes ...Change) {
	s.history.append(s.retention.HistoryChanges, changes)
	s.revision.Store(index)
	s.history.wake()
}
