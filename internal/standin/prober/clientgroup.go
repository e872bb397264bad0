package prober

import (
	"context"
	stderrors "errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// ringSize is the number of events in the event ring of a light client.
const ringSize = 64

// ClientGroupSettings are the options of a ClientGroup.
type ClientGroupSettings struct {
	// Hosts are the control hosts, and Group the name of their group.
	Hosts []configurer.ControlHost
	Group string
	// Entries and Companions are the numbers of light clients of each kind, which are
	// distributed evenly over the failure domains of Hosts.
	Entries, Companions int
	// Prefix is the prefix of the clients' names.
	Prefix string
	// Random seeds the clients' random sources. It is required.
	Random *rand.Rand
}

// Traffic counts the bytes on the connections of one kind of client. It is safe for
// concurrent use.
type Traffic struct{ Read, Written atomic.Int64 }

// ClientGroup is a group of light clients in one process.
type ClientGroup struct {
	// Entries replicate the complete configuration, Companions only their part of it.
	Entries    []*LightClient
	Companions []*LightClient
	// EntryTraffic and CompanionTraffic are the totals of all clients of each kind.
	EntryTraffic, CompanionTraffic Traffic
	// DigestEntries counts the states of backend servers that entries have received.
	DigestEntries atomic.Int64
}

// LightClient is one client of a ClientGroup.
type LightClient struct {
	*subscriber.Client
	Name  string
	Index *TimedIndex
	// Lease is the membership of a companion; it is set by Join.
	Lease registrar.Lease
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Written.Add(int64(n))
	return n, err
}

// NewClientGroup starts the clients, which connect asynchronously; see WaitLeases. It panics
// if s has no control hosts or no random source.
func NewClientGroup(s ClientGroupSettings) *ClientGroup {
	if s.Random == nil || len(s.Hosts) == 0 {
		panic("prober: NewClientGroup needs control hosts and a random source")
	}
	c := &ClientGroup{}
	for i := range s.Entries {
		l := s.client(fmt.Sprintf("%sentry-%d", s.Prefix, i), i, distributor.ScopeEntry, &c.EntryTraffic)
		l.OnDigest(func(d registrar.Digest) { c.DigestEntries.Add(int64(len(d.Servers))) })
		c.Entries = append(c.Entries, l)
	}
	for i := range s.Companions {
		c.Companions = append(c.Companions, s.client(fmt.Sprintf("%scompanion-%d", s.Prefix, i), i, distributor.ScopeCompanion, &c.CompanionTraffic))
	}
	return c
}

func (s ClientGroupSettings) client(name string, i int, scope distributor.Scope, t *Traffic) *LightClient {
	h := s.Hosts[i%len(s.Hosts)]
	l := &LightClient{Name: name, Index: &TimedIndex{Index: indexer.NewIndex(indexer.Settings{})}}
	l.Client = subscriber.NewClient(subscriber.Settings{
		Node: name, Region: h.Region, FailureDomain: h.FailureDomain, Group: s.Group, Scope: scope,
		Hosts: s.Hosts, Index: l.Index,
		Recorder: recorder.NewRecorder(recorder.Settings{Node: name, RingSize: ringSize}),
		Log:      zerolog.Nop(), Random: rand.New(rand.NewPCG(s.Random.Uint64(), s.Random.Uint64())),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return countingConn{Conn: conn, traffic: t}, nil
		},
	})
	return l
}

// pollInterval is the time between two checks of a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// WaitLeases waits until all clients have a valid configuration lease. It returns an error
// if ctx ends first.
func (c *ClientGroup) WaitLeases(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, kind := range [][]*LightClient{c.Entries, c.Companions} {
		for _, l := range kind {
			for !l.LeaseValid() {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return errors.Annotatef(ctx.Err(), "%s has no configuration lease", l.Name)
				}
			}
		}
	}
	return nil
}

// Join registers every companion as a backend server.
func (c *ClientGroup) Join(ctx context.Context) error {
	for i, l := range c.Companions {
		lease, err := l.Join(ctx, l.Name, storer.MemberSpec{
			Kind: storer.MemberKindEngine, Address: fmt.Sprintf("127.0.0.1:%d", firstPort+i), BaseModel: "base",
			Region: "r", FailureDomain: "d", Slots: slots, MaxBatch: batch, Incarnation: l.Name,
		})
		if err != nil {
			return errors.Annotatef(err, "join %s", l.Name)
		}
		l.Lease = lease
	}
	return nil
}

// Values that light companions announce: the port of the first one, and the slots and the
// maximum batch size of each.
const (
	firstPort = 20000
	slots     = 16
	batch     = 32
)

// Close ends the memberships and closes all clients.
func (c *ClientGroup) Close(ctx context.Context) error {
	var errs []error
	for _, l := range c.Companions {
		if l.Lease.Epoch != 0 {
			errs = append(errs, l.Leave(ctx, l.Name, l.Lease.Epoch, true))
		}
		errs = append(errs, l.Close()) //nolint:contextcheck // A client ends by itself.
	}
	for _, l := range c.Entries {
		errs = append(errs, l.Close()) //nolint:contextcheck // A client ends by itself.
	}
	return stderrors.Join(errs...)
}
