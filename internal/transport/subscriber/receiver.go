package subscriber

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// receiver handles what a control host sends over one connection.
type receiver struct {
	client *Client
	link   *link
}

// Handle serves one notification. They come one at a time, in order.
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
		return nil, r.delta(conn, p)
	case messenger.MethodPulse:
		var p distributor.Pulse
		if err := messenger.Decode(params, &p); err != nil {
			return nil, err
		}
		r.client.pulse(p)
	case messenger.MethodDigest:
		var b registrar.DigestBatch
		if err := messenger.Decode(params, &b); err != nil {
			return nil, err
		}
		r.digest(b)
	case messenger.MethodGoodbye:
		r.client.leaveHost("it stops")
	case messenger.MethodVoid:
		var v registrar.Void
		if err := messenger.Decode(params, &v); err != nil {
			return nil, err
		}
		r.client.void(v)
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
	return nil, nil
}

// delta applies a delta and acknowledges it. A subscription with a gap is
// useless: the client begins a new one.
func (r receiver) delta(conn *messenger.Conn, p distributor.Packed) error {
	c := r.client
	d, err := p.Unpack()
	if err != nil {
		c.leaveHost("it sent a delta that can't be read")
		return errors.Trace(err)
	}
	c.applying.Lock()
	before := c.settings.Index.Revision()
	a, err := r.link.assembler.ApplyDelta(c.settings.Index, d)
	c.applying.Unlock()
	if err != nil {
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindFault, Revision: d.UpTo, Detail: err.Error()})
		c.leaveHost("its delta does not fit")
		return err
	}
	c.mu.Lock()
	c.lease.Applied(a.Revision)
	c.knowledge.Applied(a.Revision)
	c.renew()
	c.mu.Unlock()
	if a.Revision > before {
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindConfigurationApplied, Revision: a.Revision})
	}
	if c.acks.add(conn, a) {
		c.sendAcknowledgement()
	}
	return nil
}

func (c *Client) pulse(p distributor.Pulse) {
	held := c.settings.Index.Revision()
	c.mu.Lock()
	// A companion's replica moves only with what it needs, and its host sends
	// the pulse after that: it holds the pulse's revision.
	if c.settings.Scope == distributor.ScopeCompanion {
		held = max(held, p.Revision)
	}
	c.lease.Pulse(c.settings.Now(), p, held)
	newTerm := p.Term > c.term
	c.term = max(c.term, p.Term)
	c.mu.Unlock()
	if newTerm {
		// A new leader grants no load permit until it has heard what each
		// companion holds.
		c.members.again()
	}
}

// digest follows the host's board and tells the node what is newer than what it
// was told before.
func (r receiver) digest(b registrar.DigestBatch) {
	if b.Whole {
		r.link.board = registrar.NewBoard()
	}
	c := r.client
	c.mu.Lock()
	tell := c.onDigest
	d := registrar.Digest{Whole: b.Whole, Gone: b.Gone}
	for _, name := range b.Gone {
		r.link.board.Drop(name, ^uint64(0))
		delete(c.told, name)
	}
	fits := true
	for _, change := range b.Changes {
		fits = r.link.board.Apply(change) && fits
		state, ok := r.link.board.State(change.Name)
		if !ok {
			continue
		}
		old := c.told[change.Name]
		if state.Epoch < old.Epoch || state.Epoch == old.Epoch && state.Sequence < old.Sequence {
			// Another control host had told of a later state already.
			state = old
		} else if !b.Whole && state.Epoch == old.Epoch && state.Sequence == old.Sequence {
			continue
		}
		c.told[change.Name] = state
		d.Servers = append(d.Servers, state)
	}
	if b.Whole {
		told := make(map[string]registrar.ServerState, len(d.Servers))
		for _, s := range d.Servers {
			told[s.Name] = s
		}
		c.told = told
	}
	c.mu.Unlock()
	if !fits {
		c.leaveHost("its digest does not fit")
	}
	if tell != nil {
		tell(d)
	}
}

func (c *Client) void(v registrar.Void) {
	c.mu.Lock()
	tell := c.onVoid
	c.mu.Unlock()
	for _, m := range v.Members {
		if c.members.end(m.Name, m.Epoch) && tell != nil {
			tell(m.Name, m.Epoch)
		}
	}
}
