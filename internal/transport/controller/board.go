package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// sharedBoard is the board of all backend servers that this host knows.
type sharedBoard struct {
	mu sync.Mutex
	// board is guarded by mu.
	board *registrar.Board
	// touched names the backend servers that reported to this host since the
	// last share with the other hosts; guarded by mu.
	touched map[string]struct{}
	// ended is the revision up to which ended memberships were dropped; guarded
	// by mu.
	ended uint64
	// departures are the memberships seen to end; guarded by mu.
	departures permitter.Departures
}

func newSharedBoard(now time.Time, permitExpiry time.Duration) *sharedBoard {
	b := &sharedBoard{
		board:      registrar.NewBoard(),
		touched:    make(map[string]struct{}),
		departures: permitter.Departures{Expiry: permitExpiry},
	}
	b.departures.Reset(now)
	return b
}

// whole encodes all published states. Before it lets the board go on it calls
// cut, so that a session can place the whole between two digests.
func (b *sharedBoard) whole(cut func()) (json.RawMessage, error) {
	b.mu.Lock()
	batch := b.board.Whole()
	cut()
	b.mu.Unlock()
	data, err := json.Marshal(batch)
	return data, errors.Annotate(err, "encode digest")
}

// report takes in the report of a backend server connected to this host, and
// returns false where the whole is wanted.
func (b *sharedBoard) report(change registrar.ServerChange) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.board.Apply(change) {
		return false
	}
	b.touched[change.Name] = struct{}{}
	return true
}

// share returns the whole states of the backend servers named.
func (b *sharedBoard) share(names []string) registrar.DigestBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch registrar.DigestBatch
	for _, name := range names {
		if s, ok := b.board.State(name); ok {
			batch.Changes = append(batch.Changes, s.Whole())
		}
	}
	return batch
}

// takeTouched returns the backend servers that reported to this host since the
// last call.
func (b *sharedBoard) takeTouched() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := slices.Sorted(maps.Keys(b.touched))
	clear(b.touched)
	return names
}

// current reports whether a backend server's report belongs to its membership.
// One of a membership that ended would put a dead server back on the board; one
// newer than the host's own revision belongs to a join not seen here yet.
func (c *Control) current(name string, epoch uint64) bool {
	head := c.store.Revision()
	r, ok := c.store.Get(storer.Key{Kind: storer.KindMember, Name: name})
	if !ok {
		return epoch > head
	}
	spec, ok := r.Spec.(storer.MemberSpec)
	return ok && spec.Epoch <= epoch
}

// takeShared takes in what another control host's backend servers reported.
func (c *Control) takeShared(batch registrar.DigestBatch) {
	for _, change := range batch.Changes {
		if !c.current(change.Name, change.Epoch) {
			continue
		}
		c.board.mu.Lock()
		c.board.board.Apply(change)
		c.board.mu.Unlock()
	}
}

// dropEnded takes the backend servers off the board whose membership ended.
func (c *Control) dropEnded() {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		changes, upTo, ok := c.store.Since(b.ended, 0)
		if !ok {
			b.ended = c.store.Revision()
			b.departures.Reset(c.settings.Now())
			c.dropUnknown()
			return
		}
		for _, change := range changes {
			spec, member := change.Resource.Spec.(storer.MemberSpec)
			if member && change.Deleted {
				b.board.Drop(change.Resource.Metadata.Name, spec.Epoch)
				b.departures.Record(c.settings.Now(), change.Resource.Metadata.Name)
			}
		}
		if upTo <= b.ended {
			return
		}
		b.ended = upTo
	}
}

// dropUnknown takes every backend server off the board that is no member. The
// caller holds the board's lock.
func (c *Control) dropUnknown() {
	members, revision := c.store.List(storer.KindMember, "")
	known := make(map[string]struct{}, len(members))
	for _, m := range members {
		known[m.Metadata.Name] = struct{}{}
	}
	for _, change := range c.board.board.Whole().Changes {
		if _, ok := known[change.Name]; !ok {
			c.board.board.Drop(change.Name, revision)
		}
	}
}

// digest gives the changes of the backend servers to the entries, and those
// reported here to the other hosts.
func (c *Control) digest() {
	own := c.board.share(c.board.takeTouched())
	c.board.mu.Lock()
	batch := c.board.board.Collect()
	if len(batch.Changes) > 0 || len(batch.Gone) > 0 {
		data, err := json.Marshal(batch)
		if err != nil {
			c.settings.Log.Error().Err(err).Msg("encoding a digest")
		}
		c.eachSession(func(s *session) { s.queueDigest(data) })
	}
	c.board.mu.Unlock()
	if len(batch.Changes) > 0 || len(batch.Gone) > 0 {
		c.eachSession((*session).wake)
	}
	c.shareWith(own)
}

// shareWith sends the states of own backend servers to the other hosts. A host
// to which a new connection was made gets all of them: it may have missed some.
func (c *Control) shareWith(own registrar.DigestBatch) {
	for _, address := range c.others() {
		c.relay.send(address, func() {
			conn, err := c.pool.Conn(c.ctx, address)
			if err != nil {
				return
			}
			batch := own
			if c.relay.newConn(address, conn) {
				batch = c.board.share(c.relay.names())
			}
			if len(batch.Changes) == 0 {
				return
			}
			// Lost digests are made good by the whole on the next connection.
			_ = conn.Notify(c.ctx, messenger.MethodShareDigest, batch)
		})
	}
}
