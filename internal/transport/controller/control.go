package controller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// Control is one host of the control group.
type Control struct {
	settings  Settings
	store     *storer.Store
	source    *sharedSource
	agreement ReplicatedLog
	pool      *dialer.Pool
	links     *links
	listener  *listener.Listener
	metrics   *metrics
	relay     *relay
	board     *sharedBoard
	reports   *reports

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// turned wakes the watch over the leadership.
	turned chan struct{}

	sessionsMu sync.Mutex
	// sessions holds the session of each connection that subscribed; guarded by
	// sessionsMu.
	sessions map[*messenger.Conn]*session
	// tally counts the sessions' revisions; guarded by sessionsMu.
	tally distributor.Tally
	// stopping refuses new sessions; guarded by sessionsMu.
	stopping bool

	freshMu sync.Mutex
	// fresh tells how old this host's knowledge is; guarded by freshMu.
	fresh distributor.Lease
	// term is the newest leader's term heard of; guarded by freshMu.
	term uint64

	heard heard

	dutiesMu sync.Mutex
	// duties are those of a leader; nil while this host does not lead. Guarded
	// by dutiesMu.
	duties *duties
}

// NewControl opens the data folder. Nothing is served before Start.
func NewControl(s Settings) (*Control, error) {
	if s.Random == nil || s.Listener == nil {
		panic("controller: NewControl needs a random source and a listener")
	}
	s = s.withDefaults()
	c := &Control{
		settings: s,
		store:    storer.NewStore(storer.Settings{}),
		metrics:  newMetrics(s.Registerer),
		relay:    newRelay(),
		board:    newSharedBoard(s.Now(), time.Duration(s.Control.PermitExpiry)),
		sessions: make(map[*messenger.Conn]*session),
		turned:   make(chan struct{}, 1),
	}
	c.source = newSharedSource(c.store)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reports = newReports(c)
	calls := s.Messenger
	calls.Handler = c
	c.pool = newLinkPool(calls, s.Random, s.Dial)
	c.links = newLinks(c.pool, s.Hosts)
	rs := s.replicator()
	rs.Observe = c.observe
	agreement, err := s.Open(rs, c.store, c.links)
	if err != nil {
		c.cancel()
		c.links.close()
		_ = c.pool.Close()
		return nil, errors.Annotate(err, "open the replicated log")
	}
	c.agreement = agreement
	return c, nil
}

// Start serves connections and begins the host's work.
func (c *Control) Start() {
	served := c.settings.Messenger
	served.Handler = c
	c.listener = listener.NewListener(c.settings.Listener, served)
	c.workers.Add(3)
	go c.fanout()
	go c.tick()
	go c.watchLeadership()
}

// SetHosts replaces the control hosts of the settings.
func (c *Control) SetHosts(hosts []configurer.ControlHost) { c.links.set(hosts) }

// Store returns the host's copy of the replicated state. It may be behind.
func (c *Control) Store() *storer.Store { return c.store }

// Status returns the state of the replicated log.
func (c *Control) Status() replicator.Status { return c.agreement.Status() }

// Leading reports whether this host leads and has taken up a leader's duties.
func (c *Control) Leading() bool { return c.currentDuties() != nil }

// Ready reports whether the host knows what is in force: a leader was heard of
// within the configuration lease.
func (c *Control) Ready() bool {
	age, ok := c.freshness()
	return ok && age < time.Duration(c.settings.Control.ConfigurationLease)
}

// Failed is closed when the replicated log has stopped for a failure, after
// which the process must stop: its disk can't be trusted. It is nil for a log
// that does not tell.
func (c *Control) Failed() <-chan struct{} {
	if f, ok := c.agreement.(interface{ Done() <-chan struct{} }); ok {
		return f.Done()
	}
	return nil
}

// Stop hands leadership over, sends the nodes to other hosts, and waits until
// they have gone. Close must follow. Without it a planned stop would cost the
// group an election timeout without accepted changes, and calls under way an
// unknown outcome.
func (c *Control) Stop(ctx context.Context) error {
	c.record(recorder.KindStopping, 0, "control")
	c.sessionsMu.Lock()
	c.stopping = true
	c.sessionsMu.Unlock()
	if c.voters() < minimumOthers {
		return nil
	}
	err := c.agreement.TransferLeadership(ctx)
	c.endDuties()
	c.eachSession(func(s *session) {
		c.relay.send("goodbye "+s.conn.Peer(), func() {
			// A node that misses it goes when the connection ends.
			_ = s.conn.Notify(c.ctx, messenger.MethodGoodbye, nil)
		})
	})
	for c.sessionCount() > 0 && ctx.Err() == nil {
		if !c.pause(c.settings.TickInterval) {
			break
		}
	}
	return errors.Annotate(err, "hand leadership over")
}

// minimumOthers is the number of voters from which there is another host to
// hand leadership and nodes to.
const minimumOthers = 2

func (c *Control) sessionCount() int {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return len(c.sessions)
}

func (c *Control) voters() int {
	n := 0
	for _, m := range c.agreement.Status().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Close ends all work at once and waits for it.
func (c *Control) Close() error {
	c.cancel()
	c.endDuties()
	var first error
	note := func(err error) {
		if err != nil && first == nil {
			first = err
		}
	}
	if c.listener != nil {
		note(c.listener.Close())
	} else {
		note(c.settings.Listener.Close())
	}
	c.workers.Wait()
	c.relay.senders.Wait()
	note(c.agreement.Close())
	c.links.close()
	note(c.pool.Close())
	return errors.Trace(first)
}

// observe takes the replicated log's events.
func (c *Control) observe(o replicator.Observation) {
	switch o := o.(type) {
	case replicator.Elected:
		c.metrics.elections.Inc()
		c.record(recorder.KindElected, 0, "term %d", o.Term)
		c.wakeLeadership()
	case replicator.SteppedDown:
		c.record(recorder.KindSteppedDown, 0, "term %d", o.Term)
		c.wakeLeadership()
	case replicator.SnapshotTaken:
		c.record(recorder.KindSnapshotTaken, 0, "index %d, %d bytes", o.Index, o.Bytes)
	case replicator.SnapshotInstalled:
		c.record(recorder.KindSnapshotInstalled, 0, "index %d, %d bytes", o.Index, o.Bytes)
	case replicator.Synced:
		c.metrics.sync.Observe(o.Took.Seconds())
	case replicator.MembershipChanged:
		c.links.learn(o.Configuration.Members)
		c.record(recorder.KindControlMembersChanged, 0, "%d hosts at index %d", len(o.Configuration.Members), o.Index)
	case replicator.MessageRefused:
		c.metrics.refused.Inc()
	case replicator.BootstrapRefused:
		c.record(recorder.KindFault, 0, "bootstrap refused by host %d", o.By)
	case replicator.Stopped:
		c.record(recorder.KindFault, 0, "the replicated log stopped: %v", o.Cause)
	}
}

func (c *Control) wakeLeadership() {
	select {
	case c.turned <- struct{}{}:
	default:
	}
}
