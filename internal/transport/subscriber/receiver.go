package subscriber

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// receiver handles the messages of a control host over one connection.
type receiver struct {
	client *Client
	link   *link
}

// Handle serves one notification. Notifications are handled one at a time, in order.
func (r receiver) Handle(_ context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	if r.link.retired.Load() {
		return nil, nil
	}
	switch method {
	case messenger.MethodDelta:
		var p distributor.Packed
		if err := messenger.Decode(params, &p); err != nil {
			return nil, err
		}
		return nil, r.handleDelta(conn, p)
	case messenger.MethodPulse:
		var p distributor.Pulse
		if err := messenger.Decode(params, &p); err != nil {
			return nil, err
		}
		r.client.handlePulse(p)
	case messenger.MethodDigest:
		var b registrar.DigestBatch
		if err := messenger.Decode(params, &b); err != nil {
			return nil, err
		}
		r.handleDigest(b)
	case messenger.MethodGoodbye:
		r.client.leaveHost("it is stopping")
	case messenger.MethodVoid:
		var v registrar.Void
		if err := messenger.Decode(params, &v); err != nil {
			return nil, err
		}
		r.client.handleVoid(v)
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
	return nil, nil
}

// handleDelta applies a delta and queues its acknowledgement. After a gap the subscription
// can't be used, and the client starts a new one.
func (r receiver) handleDelta(conn *messenger.Conn, p distributor.Packed) error {
	c := r.client
	d, err := p.Unpack()
	if err != nil {
		c.leaveHost("it sent a malformed delta")
		return errors.Trace(err)
	}
	c.applyMu.Lock()
	before := c.settings.Index.Revision()
	a, err := r.link.assembler.ApplyDelta(c.settings.Index, d)
	c.applyMu.Unlock()
	if err != nil {
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindFault, Revision: d.UpTo, Detail: err.Error()})
		c.leaveHost("its delta does not match the replica")
		return err
	}
	c.mu.Lock()
	c.lease.Applied(a.Revision)
	c.confirmed.Applied(a.Revision)
	c.signalConfirmation()
	c.mu.Unlock()
	if a.Revision > before {
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindConfigurationApplied, Revision: a.Revision})
	}
	if c.acks.add(conn, a) {
		c.sendAcknowledgement()
	}
	return nil
}

func (c *Client) handlePulse(p distributor.Pulse) {
	held := c.settings.Index.Revision()
	c.mu.Lock()
	// A companion's replica advances only with the changes in its scope, and its host sends
	// the pulse after these, so the replica has the pulse's revision.
	if c.settings.Scope != distributor.ScopeEntry {
		held = max(held, p.Revision)
	}
	c.lease.Pulse(c.settings.Now(), p, held)
	newTerm := p.Term > c.term
	c.term = max(c.term, p.Term)
	if p.Entries > 0 && p.AgeMillis >= 0 {
		c.entries, c.entriesAt = p.Entries, c.settings.Now().Add(-time.Duration(p.AgeMillis)*time.Millisecond)
	}
	c.mu.Unlock()
	if c.settings.OnLimits != nil {
		c.settings.OnLimits(p.Limits)
	}
	if newTerm {
		// A new leader grants no load permit until each companion has reported its permits.
		c.members.renewAll()
	}
}

// handleDigest applies a digest to the host's board and passes the states that are newer
// than those passed before to the node's callback.
func (r receiver) handleDigest(b registrar.DigestBatch) {
	if b.Whole {
		r.link.board = registrar.NewBoard()
	}
	c := r.client
	c.mu.Lock()
	notify := c.onDigest
	d := registrar.Digest{Whole: b.Whole, Gone: b.Gone}
	for _, name := range b.Gone {
		r.link.board.Drop(name, ^uint64(0))
		delete(c.reportedStates, name)
	}
	fits := true
	for _, change := range b.Changes {
		fits = r.link.board.Apply(change) && fits
		state, ok := r.link.board.State(change.Name)
		if !ok {
			continue
		}
		old := c.reportedStates[change.Name]
		if state.Epoch < old.Epoch || state.Epoch == old.Epoch && state.Sequence < old.Sequence {
			// Another control host has already reported a later state.
			state = old
		} else if !b.Whole && state.Epoch == old.Epoch && state.Sequence == old.Sequence {
			continue
		}
		c.reportedStates[change.Name] = state
		d.Servers = append(d.Servers, state)
	}
	if b.Whole {
		reportedStates := make(map[string]registrar.ServerState, len(d.Servers))
		for _, s := range d.Servers {
			reportedStates[s.Name] = s
		}
		c.reportedStates = reportedStates
	}
	c.mu.Unlock()
	if !fits {
		c.leaveHost("its digest does not match the board")
	}
	if notify != nil {
		notify(d)
	}
}

func (c *Client) handleVoid(v registrar.Void) {
	c.mu.Lock()
	notify := c.onMembershipEnd
	c.mu.Unlock()
	for _, m := range v.Members {
		if c.members.remove(m.Name, m.Epoch) && notify != nil {
			notify(m.Name, m.Epoch)
		}
	}
}
