package controller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// Control is one host of the control group. Its methods are safe for concurrent use.
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
	// leadershipChanged wakes watchLeadership.
	leadershipChanged chan struct{}

	sessionsMu sync.Mutex
	// sessions holds the session of each subscribed connection; guarded by sessionsMu.
	sessions map[*messenger.Conn]*session
	// tally tracks the revisions that the sessions' nodes hold; guarded by sessionsMu.
	tally distributor.Tally
	// stopping makes new sessions be refused; guarded by sessionsMu.
	stopping bool

	knowledgeMu sync.Mutex
	// knowledge records up to when this host is known to hold everything accepted;
	// guarded by knowledgeMu.
	knowledge distributor.Lease
	// term is the highest term in the pulses received; guarded by knowledgeMu.
	term uint64
	// entries is the number of entries in the last pulse received; guarded by knowledgeMu.
	entries int
	// limits are the limits of backend servers in the last pulse received; guarded by
	// knowledgeMu.
	limits []regulator.ServerLimit

	lastHeartbeats lastHeartbeats

	dutiesMu sync.Mutex
	// duties is nil unless this host is an active leader; guarded by dutiesMu.
	duties *duties
}

// NewControl opens the data folder. Nothing is served before Start. It panics if s has no
// Random or no Listener.
func NewControl(s Settings) (*Control, error) {
	if s.Random == nil || s.Listener == nil {
		panic("controller: NewControl requires Settings.Random and Settings.Listener")
	}
	s = s.withDefaults()
	c := &Control{
		settings:          s,
		store:             storer.NewStore(storer.Settings{}),
		metrics:           newMetrics(s.Registerer),
		relay:             newRelay(),
		board:             newSharedBoard(s.Now(), time.Duration(s.Control.PermitExpiry)),
		sessions:          make(map[*messenger.Conn]*session),
		leadershipChanged: make(chan struct{}, 1),
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

// Start starts serving connections and the background goroutines.
func (c *Control) Start() {
	served := c.settings.Messenger
	served.Handler = c
	c.listener = listener.NewLimitedListener(c.settings.Listener, served, c.settings.Allotter)
	c.workers.Add(3)
	go c.fanout()
	go c.tick()
	go c.watchLeadership()
}

// SetHosts replaces the configured control hosts.
func (c *Control) SetHosts(hosts []configurer.ControlHost) { c.links.setConfigured(hosts) }

// Store returns this host's copy of the replicated state, which may lag behind the
// leader.
func (c *Control) Store() *storer.Store { return c.store }

// Status returns the state of the replicated log.
func (c *Control) Status() replicator.Status { return c.agreement.Status() }

// Leading reports whether this host leads and has assumed a leader's duties.
func (c *Control) Leading() bool { return c.currentDuties() != nil }

// Ready reports whether the host's knowledge of what is in force is no older than the
// configuration lease.
func (c *Control) Ready() bool {
	age, ok := c.knowledgeAge()
	return ok && age < time.Duration(c.settings.Control.ConfigurationLease)
}

// Failed returns a channel that is closed when the replicated log has stopped because of
// a failure that can't be resolved by opening its files again. The process must then stop,
// since its disk can't be trusted. The channel is nil if the log does not report failures.
func (c *Control) Failed() <-chan struct{} {
	if f, ok := c.agreement.(interface{ Done() <-chan struct{} }); ok {
		return f.Done()
	}
	return nil
}

// Stop hands leadership over, asks the nodes to connect to other hosts, and waits until
// they have disconnected or ctx ends. Close must follow. Without Stop, a planned shutdown
// would leave the group without accepted changes for an election timeout, and calls in
// progress with an unknown outcome.
func (c *Control) Stop(ctx context.Context) error {
	c.record(recorder.KindStopping, 0, "control")
	c.sessionsMu.Lock()
	c.stopping = true
	c.sessionsMu.Unlock()
	if c.voters() < minHandOverVoters {
		return nil
	}
	err := c.agreement.TransferLeadership(ctx)
	c.endDuties()
	c.eachSession(func(s *session) {
		c.relay.sendAsync("goodbye "+s.conn.Peer(), func() {
			// A node that does not receive it reconnects when the connection ends.
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

// minHandOverVoters is the number of voters from which another host exists that can take
// over leadership and nodes.
const minHandOverVoters = 2

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

// Close stops all work at once, and waits until it has stopped.
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

// observe handles events of the replicated log.
func (c *Control) observe(o replicator.Observation) {
	switch o := o.(type) {
	case replicator.Elected:
		c.metrics.elections.Inc()
		c.record(recorder.KindElected, 0, "term %d", o.Term)
		c.notifyLeadershipChanged()
	case replicator.SteppedDown:
		c.record(recorder.KindSteppedDown, 0, "term %d", o.Term)
		c.notifyLeadershipChanged()
	case replicator.SnapshotTaken:
		c.record(recorder.KindSnapshotTaken, 0, "index %d, %d bytes", o.Index, o.Bytes)
	case replicator.SnapshotInstalled:
		c.record(recorder.KindSnapshotInstalled, 0, "index %d, %d bytes", o.Index, o.Bytes)
	case replicator.Synced:
		c.metrics.sync.Observe(o.Took.Seconds())
	case replicator.MembershipChanged:
		c.links.updateMembers(o.Configuration.Members)
		c.record(recorder.KindControlMembersChanged, 0, "%d hosts at index %d", len(o.Configuration.Members), o.Index)
	case replicator.MessageRefused:
		c.metrics.refused.Inc()
	case replicator.BootstrapRefused:
		c.record(recorder.KindFault, 0, "bootstrap refused by host %d", o.By)
	case replicator.Suspended:
		c.metrics.diskFailures.Inc()
		c.metrics.suspended.Set(1)
		c.record(recorder.KindFault, 0, "the replicated log is suspended: %v", o.Cause)
	case replicator.Resumed:
		c.metrics.suspended.Set(0)
	case replicator.SnapshotFailed:
		c.metrics.snapshotFailures.Inc()
	case replicator.Stopped:
		c.record(recorder.KindFault, 0, "the replicated log stopped: %v", o.Cause)
	}
}

func (c *Control) notifyLeadershipChanged() {
	select {
	case c.leadershipChanged <- struct{}{}:
	default:
	}
}
