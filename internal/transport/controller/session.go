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

// digestQueue is the number of digests that wait for one entry. Beyond it they
// are dropped, and the entry gets the whole instead.
const digestQueue = 16

// session serves one node over one connection.
type session struct {
	conn      *messenger.Conn
	subscribe distributor.Subscribe
	// signal wakes the sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// feed is the cursor over the configuration; guarded by mu.
	feed *distributor.Feed
	// digests wait to be sent; guarded by mu.
	digests []json.RawMessage
	// needsWhole asks for the whole board before further digests; guarded by mu.
	needsWhole bool
	// pulseDue asks for a pulse; guarded by mu.
	pulseDue bool
	// goodbye tells that the node said it leaves; guarded by mu.
	goodbye bool
	// resetting tells that pages of the whole state are under way; guarded by
	// mu.
	resetting bool
}

func (s *session) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// startSession serves Subscribe.
func (c *Control) startSession(conn *messenger.Conn, sub distributor.Subscribe) (distributor.Subscribed, error) {
	if sub.Group != "" && sub.Group != c.settings.Control.Group {
		return distributor.Subscribed{}, messenger.NewRefusal(messenger.ReasonMalformed, "another control group")
	}
	formation := c.agreement.Status().Formation
	if sub.Formation != 0 && formation != 0 && sub.Formation != formation {
		// The group was formed anew, and its revisions begin anew: the node would
		// wait for ever for one above its own.
		return distributor.Subscribed{}, messenger.NewRefusal(messenger.ReasonMalformed, "the control group was formed anew: restart the node")
	}
	s := &session{
		conn:      conn,
		subscribe: sub,
		signal:    make(chan struct{}, 1),
		feed: distributor.NewFeed(distributor.FeedSettings{
			Scope: sub.Scope, Backend: sub.Backend, After: sub.After,
		}),
		needsWhole: sub.Scope == distributor.ScopeEntry,
		pulseDue:   true,
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

// runSession sends to one node until its connection ends, or until another
// subscription on the same connection replaces this one.
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
	c.relay.forget(s.conn)
	c.metrics.sessions.WithLabelValues(s.subscribe.Scope.String()).Dec()
	for _, other := range c.sessions {
		if other.subscribe.Node == s.subscribe.Node {
			// The node has subscribed again on another connection.
			return
		}
	}
	c.tally.Disconnect(c.settings.Now(), s.subscribe.Node, s.saidGoodbye())
}

func (s *session) saidGoodbye() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.goodbye
}

func (c *Control) session(conn *messenger.Conn) *session {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return c.sessions[conn]
}

// eachSession calls f for every session, without a lock held.
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

// sendNext sends one message, if there is any: deltas first, so that a pulse
// never tells of a revision before the delta that brings it.
func (c *Control) sendNext(s *session) (bool, error) {
	// The pulse is made first: what the feed gives out after it covers it.
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
	if s.subscribe.Scope != distributor.ScopeEntry && s.feed.Acknowledged() < pulse.Revision {
		// The node can't tell by its own revision, since it is spared most
		// changes: the pulse is a sign of life only.
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

// nextDigest returns the digest to send to a session.
func (c *Control) nextDigest(s *session) (json.RawMessage, bool) {
	s.mu.Lock()
	whole := s.needsWhole
	s.needsWhole = false
	if !whole && len(s.digests) > 0 {
		next := s.digests[0]
		s.digests = s.digests[1:]
		s.mu.Unlock()
		return next, true
	}
	s.mu.Unlock()
	if !whole {
		return nil, false
	}
	data, err := c.board.whole(func() {
		s.mu.Lock()
		s.digests = nil
		s.mu.Unlock()
	})
	if err != nil {
		c.settings.Log.Error().Err(err).Msg("encoding the digest of all backend servers")
		return nil, false
	}
	return data, true
}

// queueDigest gives a digest to a session. The caller holds the board's lock,
// so that no whole is taken between two digests.
func (s *session) queueDigest(data json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscribe.Scope != distributor.ScopeEntry || s.needsWhole {
		return
	}
	if len(s.digests) >= digestQueue {
		s.digests, s.needsWhole = nil, true
		return
	}
	s.digests = append(s.digests, data)
}

// applied takes a node's acknowledgement.
func (c *Control) applied(conn *messenger.Conn, a distributor.AcknowledgeRevision) {
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

// revision returns what the session's node holds.
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

// count brings the tally up to date.
func (c *Control) count() {
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
		c.source.forgetAll()
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
		c.freshMu.Lock()
		c.fresh.Applied(held)
		c.freshMu.Unlock()
		c.dropEnded()
		c.eachSession((*session).wake)
		if !c.pause(c.settings.FanoutInterval) {
			return
		}
	}
}

// pause waits, and returns false when the host closes.
func (c *Control) pause(d time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.ctx, d)
	defer cancel()
	<-ctx.Done()
	return c.ctx.Err() == nil
}
