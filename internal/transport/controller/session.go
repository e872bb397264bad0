package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// maxQueuedDigests bounds the digests queued for one entry. If it is exceeded, the queue
// is dropped and the entry receives the full states instead.
const maxQueuedDigests = 16

// session serves one node over one connection.
type session struct {
	conn      *messenger.Conn
	subscribe distributor.Subscribe
	// signal wakes the session's sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// feed is the node's position in the configuration; guarded by mu.
	feed *distributor.Feed
	// digests holds the digests to send; guarded by mu.
	digests []json.RawMessage
	// needsFull means that the full states of all backend servers must be sent before
	// further digests; guarded by mu.
	needsFull bool
	// pulseDue means that a pulse must be sent; guarded by mu.
	pulseDue bool
	// goodbye means that the node has announced its permanent departure; guarded by mu.
	goodbye bool
	// resetting means that the node is being sent pages of the whole state; guarded by
	// mu.
	resetting bool
}

func (s *session) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// startSession serves MethodSubscribe.
func (c *Control) startSession(conn *messenger.Conn, sub distributor.Subscribe) (distributor.Subscribed, error) {
	if sub.Group != "" && sub.Group != c.settings.Control.Group {
		return distributor.Subscribed{}, messenger.NewRefusal(messenger.ReasonMalformed, "another control group")
	}
	formation := c.agreement.Status().Formation
	if sub.Formation != 0 && formation != 0 && sub.Formation != formation {
		// The group was formed again, and its revisions restarted: the node would wait
		// forever for a revision above its own.
		return distributor.Subscribed{}, messenger.NewRefusal(messenger.ReasonMalformed, "the control group was formed anew: restart the node")
	}
	s := &session{
		conn:      conn,
		subscribe: sub,
		signal:    make(chan struct{}, 1),
		feed: distributor.NewFeed(distributor.FeedSettings{
			Scope: sub.Scope, Backend: sub.Backend, After: sub.After,
		}),
		needsFull: sub.Scope == distributor.ScopeEntry,
		pulseDue:  true,
	}
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	if c.stopping || c.ctx.Err() != nil {
		return distributor.Subscribed{}, messenger.NewRefusal(messenger.ReasonStopping, "")
	}
	old, replaced := c.sessions[conn]
	if replaced {
		c.metrics.sessions.WithLabelValues(old.subscribe.Scope.String()).Dec()
	}
	c.sessions[conn] = s
	c.tally.Observe(c.settings.Now(), s.revision(), c.store.Revision())
	c.metrics.sessions.WithLabelValues(sub.Scope.String()).Inc()
	c.workers.Add(1)
	go c.runSession(s)
	return distributor.Subscribed{Host: c.settings.Node, Formation: formation, Revision: c.store.Revision()}, nil
}

// runSession sends to one node until its connection ends, or until another subscription
// on the same connection replaces this one.
func (c *Control) runSession(s *session) {
	defer c.workers.Done()
	defer c.endSession(s)
	s.wake()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-s.conn.Done():
			return
		case <-s.signal:
		}
		for c.session(s.conn) == s {
			sent, err := c.sendNext(s)
			if err != nil {
				c.settings.Log.Debug().Err(err).Str("Node", s.subscribe.Node).Msg("session ended")
				return
			}
			if !sent {
				break
			}
		}
	}
}

func (c *Control) endSession(s *session) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	if c.sessions[s.conn] != s {
		return
	}
	delete(c.sessions, s.conn)
	c.relay.forgetConn(s.conn)
	c.metrics.sessions.WithLabelValues(s.subscribe.Scope.String()).Dec()
	for _, other := range c.sessions {
		if other.subscribe.Node == s.subscribe.Node {
			// The node has subscribed again on another connection.
			return
		}
	}
	c.tally.Disconnect(c.settings.Now(), s.subscribe.Node, s.receivedGoodbye())
}

func (s *session) receivedGoodbye() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.goodbye
}

func (c *Control) session(conn *messenger.Conn) *session {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return c.sessions[conn]
}

// eachSession calls f for every session, without holding a lock.
func (c *Control) eachSession(f func(*session)) {
	c.sessionsMu.Lock()
	all := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		all = append(all, s)
	}
	c.sessionsMu.Unlock()
	for _, s := range all {
		f(s)
	}
}

// sendNext sends one message if one is due, and reports whether it did. Deltas go first,
// so that a pulse never names a revision before the delta that contains it.
func (c *Control) sendNext(s *session) (bool, error) {
	// Create the pulse before reading the feed, so that the feed covers its revision.
	pulse := c.pulse()
	s.mu.Lock()
	delta, ok := s.feed.Next(c.source)
	if ok {
		s.resetting = delta.Reset && !delta.Last
	}
	s.mu.Unlock()
	if ok {
		return true, c.sendDelta(s, delta)
	}
	if digest, ok := c.nextDigest(s); ok {
		return true, errors.Trace(s.conn.Notify(c.ctx, messenger.MethodDigest, digest))
	}
	s.mu.Lock()
	due := s.pulseDue
	s.pulseDue = false
	if s.subscribe.Scope != distributor.ScopeEntry {
		pulse.Limits = nil
	}
	if s.subscribe.Scope != distributor.ScopeEntry && s.feed.Acknowledged() < pulse.Revision {
		// The node receives only some of the changes, so its own revision does not show
		// whether it is up to date. The pulse then only shows that the host is alive.
		pulse.AgeMillis = -1
	}
	s.mu.Unlock()
	if !due {
		return false, nil
	}
	return true, errors.Trace(s.conn.Notify(c.ctx, messenger.MethodPulse, pulse))
}

func (c *Control) sendDelta(s *session, d distributor.Delta) error {
	var data json.RawMessage
	var err error
	if s.subscribe.Scope == distributor.ScopeEntry {
		data, err = c.source.encode(d)
	} else {
		data, err = encodeDelta(d)
	}
	if err != nil {
		return err
	}
	c.metrics.deltas.Inc()
	return errors.Trace(s.conn.Notify(c.ctx, messenger.MethodDelta, data))
}

// nextDigest returns the next digest to send to a session, and false if there is none.
func (c *Control) nextDigest(s *session) (json.RawMessage, bool) {
	s.mu.Lock()
	full := s.needsFull
	s.needsFull = false
	if !full && len(s.digests) > 0 {
		next := s.digests[0]
		s.digests = s.digests[1:]
		s.mu.Unlock()
		return next, true
	}
	s.mu.Unlock()
	if !full {
		return nil, false
	}
	data, err := c.board.full(func() {
		s.mu.Lock()
		s.digests = nil
		s.mu.Unlock()
	})
	if err != nil {
		c.settings.Log.Error().Err(err).Msg("failed to encode the digest of all backend servers")
		return nil, false
	}
	return data, true
}

// queueDigest queues a digest for a session. The caller holds the board's lock, so that
// full states are ordered relative to digests.
func (s *session) queueDigest(data json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscribe.Scope != distributor.ScopeEntry || s.needsFull {
		return
	}
	if len(s.digests) >= maxQueuedDigests {
		s.digests, s.needsFull = nil, true
		return
	}
	s.digests = append(s.digests, data)
}

// acknowledge processes a node's acknowledgement of a revision.
func (c *Control) acknowledge(conn *messenger.Conn, a distributor.AcknowledgeRevision) {
	s := c.session(conn)
	if s == nil {
		return
	}
	s.mu.Lock()
	full := s.feed.Full()
	s.feed.Acknowledge(a)
	s.mu.Unlock()
	if full {
		s.wake()
	}
}

// revision returns the revision that the session's node holds.
func (s *session) revision() distributor.NodeRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return distributor.NodeRevision{
		Node:          s.subscribe.Node,
		FailureDomain: s.subscribe.FailureDomain,
		Scope:         s.subscribe.Scope,
		Revision:      s.feed.Acknowledged(),
	}
}

// updateTally updates the tally with all sessions. It drops the snapshot of the whole
// state if no node is being sent its pages.
func (c *Control) updateTally() {
	now, head := c.settings.Now(), c.store.Revision()
	resetting := false
	c.sessionsMu.Lock()
	for _, s := range c.sessions {
		c.tally.Observe(now, s.revision(), head)
		s.mu.Lock()
		resetting = resetting || s.resetting
		s.mu.Unlock()
	}
	c.sessionsMu.Unlock()
	if !resetting {
		c.source.dropSnapshot()
	}
}

// fanout wakes the sessions when there are changes.
func (c *Control) fanout() {
	defer c.workers.Done()
	held := uint64(0)
	for {
		if err := c.store.Wait(c.ctx, held); err != nil {
			return
		}
		held = c.store.Revision()
		c.metrics.revision.Set(float64(held))
		c.knowledgeMu.Lock()
		c.knowledge.Applied(held)
		c.knowledgeMu.Unlock()
		c.dropEndedMembers()
		c.eachSession((*session).wake)
		if !c.pause(c.settings.FanoutInterval) {
			return
		}
	}
}

// pause waits for d. It returns false if the host is closed meanwhile.
func (c *Control) pause(d time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.ctx, d)
	defer cancel()
	<-ctx.Done()
	return c.ctx.Err() == nil
}
