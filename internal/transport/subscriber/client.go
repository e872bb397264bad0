package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Client connects a node to the control hosts. It is safe for concurrent use.
type Client struct {
	settings Settings
	members  *memberships
	metrics  *metrics
	acks     *acknowledgements
	accounts *bucketer.Accounts

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// leaveReason ends the use of the present connection; its value is the reason.
	leaveReason chan string
	// outdated signals that the state of the control host in use is outdated.
	outdated chan struct{}
	// reportNow starts a report at once.
	reportNow chan struct{}
	// applyMu serializes changes of the replica: two connections may briefly deliver deltas
	// at the same time.
	applyMu sync.Mutex
	// formation identifies the control group that the replica is from; 0 until known. Only
	// run uses it.
	formation uint64

	mu sync.Mutex
	// link is the connection in use, or nil; guarded by mu.
	link *link
	// hosts are the known control hosts; guarded by mu.
	hosts []configurer.ControlHost
	// linkChanged is closed and replaced when link changes; guarded by mu.
	linkChanged chan struct{}
	// linkedAt is when link last changed; guarded by mu.
	linkedAt time.Time
	// lease is the configuration lease; guarded by mu.
	lease distributor.Lease
	// confirmed is the lease that is extended only by answers to the node's own reports;
	// guarded by mu.
	confirmed distributor.Lease
	// confirmation is closed and replaced when confirmed may have been extended or a report
	// has been answered; guarded by mu.
	confirmation chan struct{}
	// lastLeaseValid is the validity of the lease at the last check, to record changes;
	// guarded by mu.
	lastLeaseValid bool
	// term is the highest leader term received; guarded by mu.
	term uint64
	// entries is the number of entries in the last pulse that named one, and entriesAt the time
	// at which it was current; guarded by mu.
	entries   int
	entriesAt time.Time
	// onMembershipEnd and onDigest are the node's callbacks; guarded by mu.
	onMembershipEnd func(name string, epoch uint64)
	onDigest        func(registrar.Digest)
	// reportedStates holds the last state of each backend server that was passed to
	// onDigest; guarded by mu.
	reportedStates map[string]registrar.ServerState
}

// link is a subscription over one connection.
type link struct {
	conn *messenger.Conn
	host configurer.ControlHost
	// assembler assembles the deltas; used only by the connection's reader.
	assembler distributor.Assembler
	// board tracks the host's digests; used only by the connection's reader.
	board *registrar.Board
	// calls counts the calls in flight. None starts once the link is no longer in use.
	calls sync.WaitGroup
	// retired reports whether the link is no longer in use; messages of its host are then
	// ignored.
	retired atomic.Bool
}

// NewClient returns a client that keeps a connection until Close. It panics if the control
// hosts, the index or the random source are missing.
func NewClient(s Settings) *Client {
	if s.Random == nil || s.Index == nil || len(s.Hosts) == 0 {
		panic("subscriber: settings need control hosts, an index and a random source")
	}
	s = s.withDefaults()
	c := &Client{
		settings:       s,
		members:        newMemberships(s.Now),
		metrics:        newMetrics(s.Registerer),
		acks:           newAcknowledgements(),
		accounts:       bucketer.NewAccounts(rand.New(rand.NewPCG(s.Random.Uint64(), s.Random.Uint64()))),
		leaveReason:    make(chan string, 1),
		outdated:       make(chan struct{}, 1),
		reportNow:      make(chan struct{}, 1),
		confirmation:   make(chan struct{}),
		linkChanged:    make(chan struct{}),
		hosts:          s.Hosts,
		lease:          distributor.Lease{Duration: s.ConfigurationLease},
		reportedStates: make(map[string]registrar.ServerState),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if s.Moderator != nil {
		random := rand.New(rand.NewPCG(s.Random.Uint64(), s.Random.Uint64()))
		c.workers.Go(func() { c.watchLink(s.Moderator, random) })
	}
	c.workers.Add(5)
	go c.reportLoop()
	go c.run()
	go c.watchLease()
	go c.renewLoop()
	go c.acknowledgeLoop()
	return c
}

// OnMembershipEnd registers f, which is called when a membership has ended although its
// companion renewed it. F must not block.
func (c *Client) OnMembershipEnd(f func(name string, epoch uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onMembershipEnd = f
}

// OnDigest registers f, which is called with the changes of the backend servers' residency
// and load. F must not block. Changes are passed in order; an older state never follows a
// newer one.
func (c *Client) OnDigest(f func(registrar.Digest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDigest = f
}

// LeaseValid reports whether the node may trust its replica of the configuration, that is,
// whether the replica was known to be complete less than a configuration lease ago.
func (c *Client) LeaseValid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(c.settings.Now())
}

// Age returns the time since the replica was last known to contain all accepted changes,
// and false if it never was.
func (c *Client) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Age(c.settings.Now())
}

// Entries returns the number of entries connected to all control hosts, as last reported, and
// its age; 0 means unknown.
func (c *Client) Entries() (entries int, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, c.settings.Now().Sub(c.entriesAt)
}

// Host returns the address of the control host in use; empty means none.
func (c *Client) Host() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil {
		return ""
	}
	return c.link.host.Address
}

// SetHosts replaces the known control hosts. The connection in use is kept.
func (c *Client) SetHosts(hosts []configurer.ControlHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
}

func (c *Client) knownHosts() []configurer.ControlHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Close notifies the control host, closes the connection and waits for the client's
// goroutines.
func (c *Client) Close() error {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l != nil {
		// The control host removes a node at once that says goodbye; one that does not
		// stays listed as missing for a while.
		ctx, cancel := context.WithTimeout(c.ctx, c.settings.DialTimeout)
		_ = l.conn.Notify(ctx, messenger.MethodGoodbye, nil)
		cancel()
	}
	c.cancel()
	c.workers.Wait()
	return nil
}

// setLink sets the connection in use; nil means none.
func (c *Client) setLink(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link, c.linkedAt = l, c.settings.Now()
	close(c.linkChanged)
	c.linkChanged = make(chan struct{})
	c.lease.DiscardPending()
}

// acquireConn returns the connection in use, and waits for one if there is none. The caller
// must call done after use.
func (c *Client) acquireConn(ctx context.Context) (conn *messenger.Conn, done func(), err error) {
	for {
		c.mu.Lock()
		l, changed := c.link, c.linkChanged
		if l != nil && !l.conn.Ended() {
			l.calls.Add(1)
			c.mu.Unlock()
			return l.conn, l.calls.Done, nil
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, errors.Trace(ctx.Err())
		case <-c.ctx.Done():
			return nil, nil, errors.New("the client is closed")
		}
	}
}

// watchLease records the loss and recovery of the configuration lease, and starts a search
// for another control host when the state of the one in use is outdated, before the lease
// expires. Between two searches there is at least half a lease, so that nodes don't keep
// searching while there is no leader at all.
func (c *Client) watchLease() {
	defer c.workers.Done()
	ticker := time.NewTicker(c.settings.ConfigurationLease / leaseChecks)
	defer ticker.Stop()
	var searchedAt time.Time
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.settings.Now()
		c.mu.Lock()
		valid := c.lease.Valid(now)
		changed := valid != c.lastLeaseValid
		c.lastLeaseValid = valid
		age, known := c.lease.Age(now)
		confirmedAge, isConfirmed := c.confirmed.Age(now)
		settled := c.link != nil && now.Sub(c.linkedAt) > c.settings.ConfigurationLease/2
		c.mu.Unlock()
		c.updateGauges(valid, age, known)
		c.metrics.confirmedAge.Set(-1)
		if isConfirmed {
			c.metrics.confirmedAge.Set(confirmedAge.Seconds())
		}
		if changed {
			kind := recorder.KindConfigurationLeaseLost
			if valid {
				kind = recorder.KindConfigurationLeaseRegained
			}
			c.settings.Recorder.Record(recorder.Event{Kind: kind, Revision: c.settings.Index.Revision()})
		}
		outdated := !known || age > c.settings.ConfigurationLease/2
		if settled && outdated && now.Sub(searchedAt) > c.settings.ConfigurationLease/2 {
			searchedAt = now
			select {
			case c.outdated <- struct{}{}:
			default:
			}
		}
	}
}

// updateGauges sets the gauges of the node's replica.
func (c *Client) updateGauges(valid bool, age time.Duration, known bool) {
	c.metrics.revision.Set(float64(c.settings.Index.Revision()))
	c.metrics.trusted.Set(0)
	if valid {
		c.metrics.trusted.Set(1)
	}
	c.metrics.age.Set(-1)
	if known {
		c.metrics.age.Set(age.Seconds())
	}
}

// leaseChecks is the number of checks per configuration lease.
const leaseChecks = 8

// leaveHost makes the client change to another control host.
func (c *Client) leaveHost(reason string) {
	select {
	case c.leaveReason <- reason:
	default:
	}
}
