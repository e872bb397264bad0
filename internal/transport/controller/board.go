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

// sharedBoard holds the states of all backend servers known to this host.
type sharedBoard struct {
	mu sync.Mutex
	// board is guarded by mu.
	board *registrar.Board
	// reported names the backend servers that reported to this host since their states
	// were last shared with the other hosts; guarded by mu.
	reported map[string]struct{}
	// droppedUpTo is the revision up to which ended memberships were dropped; guarded by
	// mu.
	droppedUpTo uint64
	// departures records recently ended memberships; guarded by mu.
	departures permitter.Departures
}

func newSharedBoard(now time.Time, permitExpiry time.Duration) *sharedBoard {
	b := &sharedBoard{
		board:      registrar.NewBoard(),
		reported:   make(map[string]struct{}),
		departures: permitter.Departures{Expiry: permitExpiry},
	}
	b.departures.Reset(now)
	return b
}

// full encodes all published states. It calls captured while it holds the lock, so that a
// session can order the full states relative to other digests.
func (b *sharedBoard) full(captured func()) (json.RawMessage, error) {
	b.mu.Lock()
	batch := b.board.Whole()
	captured()
	b.mu.Unlock()
	data, err := json.Marshal(batch)
	return data, errors.Annotate(err, "encode digest")
}

// applyReport applies the report of a backend server connected to this host. It returns
// false if a full report is needed.
func (b *sharedBoard) applyReport(change registrar.ServerChange) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.board.Apply(change) {
		return false
	}
	b.reported[change.Name] = struct{}{}
	return true
}

// fullStates returns the full states of the named backend servers.
func (b *sharedBoard) fullStates(names []string) registrar.DigestBatch {
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

// takeReported returns the names of the backend servers that reported to this host since
// the last call.
func (b *sharedBoard) takeReported() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := slices.Sorted(maps.Keys(b.reported))
	clear(b.reported)
	return names
}

// isCurrentReport reports whether the report of a backend server belongs to a membership
// that can still be in force. A report of an ended membership would put a dead server
// back on the board. An epoch above this host's revision belongs to a join that it has
// not applied yet.
func (c *Control) isCurrentReport(name string, epoch uint64) bool {
	head := c.store.Revision()
	r, ok := c.store.Get(storer.Key{Kind: storer.KindMember, Name: name})
	if !ok {
		return epoch > head
	}
	spec, ok := r.Spec.(storer.MemberSpec)
	return ok && spec.Epoch <= epoch
}

// applyShared applies the states that another control host shared.
func (c *Control) applyShared(batch registrar.DigestBatch) {
	for _, change := range batch.Changes {
		if !c.isCurrentReport(change.Name, change.Epoch) {
			continue
		}
		c.board.mu.Lock()
		c.board.board.Apply(change)
		c.board.mu.Unlock()
	}
}

// dropEndedMembers removes backend servers from the board whose membership has ended.
func (c *Control) dropEndedMembers() {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		changes, upTo, ok := c.store.Since(b.droppedUpTo, 0)
		if !ok {
			b.droppedUpTo = c.store.Revision()
			b.departures.Reset(c.settings.Now())
			c.dropNonMembers()
			return
		}
		for _, change := range changes {
			spec, member := change.Resource.Spec.(storer.MemberSpec)
			if member && change.Deleted {
				b.board.Drop(change.Resource.Metadata.Name, spec.Epoch)
				b.departures.Record(c.settings.Now(), change.Resource.Metadata.Name)
			}
		}
		if upTo <= b.droppedUpTo {
			return
		}
		b.droppedUpTo = upTo
	}
}

// dropNonMembers removes all backend servers from the board that are not members. The
// caller holds the board's lock.
func (c *Control) dropNonMembers() {
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

// sendDigests queues the collected changes for the entries, and shares the states
// reported to this host with the other hosts.
func (c *Control) sendDigests() {
	own := c.board.fullStates(c.board.takeReported())
	c.board.mu.Lock()
	batch := c.board.board.Collect()
	if len(batch.Changes) > 0 || len(batch.Gone) > 0 {
		data, err := json.Marshal(batch)
		if err != nil {
			c.settings.Log.Error().Err(err).Msg("failed to encode a digest")
		}
		c.eachSession(func(s *session) { s.queueDigest(data) })
	}
	c.board.mu.Unlock()
	if len(batch.Changes) > 0 || len(batch.Gone) > 0 {
		c.eachSession((*session).wake)
	}
	c.shareWithHosts(own)
}

// shareWithHosts sends the given states to the other hosts. A host with a new connection
// receives the states of all backend servers connected here, since it may have missed
// some.
func (c *Control) shareWithHosts(own registrar.DigestBatch) {
	for _, address := range c.otherHosts() {
		c.relay.sendAsync(address, func() {
			conn, err := c.pool.Conn(c.ctx, address)
			if err != nil {
				return
			}
			batch := own
			if c.relay.replaceConn(address, conn) {
				batch = c.board.fullStates(c.relay.connectedBackends())
			}
			if len(batch.Changes) == 0 {
				return
			}
			// A lost message is compensated by the full states sent on the next
			// connection.
			_ = conn.Notify(c.ctx, messenger.MethodShareDigest, batch)
		})
	}
}
