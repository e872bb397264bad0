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

// Client is a node's end towards the control hosts. Its methods may be called
// by several goroutines.
type Client struct {
	settings Settings
	members  *memberships
	metrics  *metrics
	acks     *acknowledgements
	accounts *bucketer.Accounts

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// leave ends the present connection's use; its value says why.
	leave chan string
	// ask has a report sent at once.
	ask chan struct{}
	// applying lets one delta at a time change the replica: for a moment two
	// connections can each bring one.
	applying sync.Mutex
	// formation is the number of the group that the replica is from; 0 until
	// known. Only run uses it.
	formation uint64

	mu sync.Mutex
	// link is the connection in use, or nil; guarded by mu.
	link *link
	// hosts are the control hosts to choose from; guarded by mu.
	hosts []configurer.ControlHost
	// linked is closed and replaced when link changes; guarded by mu.
	linked chan struct{}
	// linkedAt is when link last changed; guarded by mu.
	linkedAt time.Time
	// lease is the configuration lease; guarded by mu.
	lease distributor.Lease
	// knowledge is when the node is known by its own question to have held all that was
	// accepted; guarded by mu.
	knowledge distributor.Lease
	// renewed is closed and replaced when knowledge is extended or a report answered;
	// guarded by mu.
	renewed chan struct{}
	// trusted is what LeaseValid said last, to record changes; guarded by mu.
	trusted bool
	// term is the newest leader's term heard of; guarded by mu.
	term uint64
	// onVoid and onDigest are the node's callbacks; guarded by mu.
	onVoid   func(name string, epoch uint64)
	onDigest func(registrar.Digest)
	// told holds what onDigest was last told of each backend server; guarded by
	// mu.
	told map[string]registrar.ServerState
}

// link is one subscription over one connection.
type link struct {
	conn *messenger.Conn
	host configurer.ControlHost
	// assembler takes the deltas; used by the connection's reader alone.
	assembler distributor.Assembler
	// board follows the host's digests; used by the connection's reader alone.
	board *registrar.Board
	// calls counts those under way. None begins once the link is not in use.
	calls sync.WaitGroup
	// retired tells that the link is used no more: what its host still sends is
	// passed over.
	retired atomic.Bool
}

// NewClient returns a client that connects until Close.
func NewClient(s Settings) *Client {
	if s.Random == nil || s.Index == nil || len(s.Hosts) == 0 {
		panic("subscriber: NewClient needs control hosts, an index and a random source")
	}
	s = s.withDefaults()
	c := &Client{
		settings: s,
		members:  newMemberships(s.Now),
		metrics:  newMetrics(s.Registerer),
		acks:     newAcknowledgements(),
		accounts: bucketer.NewAccounts(rand.New(rand.NewPCG(s.Random.Uint64(), s.Random.Uint64()))),
		leave:    make(chan string, 1),
		ask:      make(chan struct{}, 1),
		renewed:  make(chan struct{}),
		linked:   make(chan struct{}),
		hosts:    s.Hosts,
		lease:    distributor.Lease{Duration: s.ConfigurationLease},
		told:     make(map[string]registrar.ServerState),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.workers.Add(5)
	go c.reports()
	go c.run()
	go c.watch()
	go c.renewals()
	go c.acknowledge()
	return c
}

// OnMembershipEnd has f called when a membership has ended though its companion renewed
// it. F must be quick.
func (c *Client) OnMembershipEnd(f func(name string, epoch uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onVoid = f
}

// OnDigest has f called with what changed of the backend servers' residency and
// load. F must be quick. Changes come in order, and older ones never after newer
// ones.
func (c *Client) OnDigest(f func(registrar.Digest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDigest = f
}

// LeaseValid reports whether the node may trust the configuration that it holds:
// it was known, less than the configuration lease ago, to hold all that was
// accepted.
func (c *Client) LeaseValid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(c.settings.Now())
}

// Age returns how long ago the node was known to hold all that was accepted, and
// false where it never was.
func (c *Client) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Age(c.settings.Now())
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

// SetHosts replaces the control hosts to choose from. The connection in use stays.
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

// Close says goodbye, ends the connection and waits.
func (c *Client) Close() error {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l != nil {
		// The control host forgets a node that says goodbye at once; one that
		// does not is listed as missing for a while.
		ctx, cancel := context.WithTimeout(c.ctx, c.settings.DialTimeout)
		_ = l.conn.Notify(ctx, messenger.MethodGoodbye, nil)
		cancel()
	}
	c.cancel()
	c.workers.Wait()
	return nil
}

// setLink takes a connection into use, or nil.
func (c *Client) setLink(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link, c.linkedAt = l, c.settings.Now()
	close(c.linked)
	c.linked = make(chan struct{})
	c.lease.DiscardPending()
}

// current returns the connection in use, waiting for one if there is none. The
// caller ends its use by done.
func (c *Client) current(ctx context.Context) (conn *messenger.Conn, done func(), err error) {
	for {
		c.mu.Lock()
		l, changed := c.link, c.linked
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

// watch records when the configuration lease is lost or regained, and leaves a
// control host whose own knowledge has grown old while the lease runs out:
// another host may still be in contact with a leader. It stays for half a lease
// at least, so that nodes don't hop about while there is no leader at all.
func (c *Client) watch() {
	defer c.workers.Done()
	ticker := time.NewTicker(c.settings.ConfigurationLease / watchParts)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.settings.Now()
		c.mu.Lock()
		valid := c.lease.Valid(now)
		changed := valid != c.trusted
		c.trusted = valid
		age, known := c.lease.Age(now)
		asked, ever := c.knowledge.Age(now)
		tried := c.link != nil && now.Sub(c.linkedAt) > c.settings.ConfigurationLease/2
		c.mu.Unlock()
		c.measure(valid, age, known)
		c.metrics.asked.Set(-1)
		if ever {
			c.metrics.asked.Set(asked.Seconds())
		}
		if changed {
			kind := recorder.KindConfigurationLeaseLost
			if valid {
				kind = recorder.KindConfigurationLeaseRegained
			}
			c.settings.Recorder.Record(recorder.Event{Kind: kind, Revision: c.settings.Index.Revision()})
		}
		if tried && known && age > c.settings.ConfigurationLease/2 {
			c.leaveHost("its knowledge is old")
		}
	}
}

// measure sets the gauges of what the node knows.
func (c *Client) measure(valid bool, age time.Duration, known bool) {
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

// watchParts is the part of the configuration lease, as its divisor, between two
// looks at it.
const watchParts = 8

// leaveHost has the client go to another control host.
func (c *Client) leaveHost(why string) {
	select {
	case c.leave <- why:
	default:
	}
}
