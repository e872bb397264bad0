package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// group is a control group on loopback, whose network can be cut between its hosts and to
// its nodes.
type group struct {
	folder   string
	hosts    []configurer.ControlHost
	controls []*controller.Control
	metrics  []*prometheus.Registry
	network  network
	adjust   func(*controller.Settings)
}

// network opens connections, and can cut or silence them. Its methods are safe for
// concurrent use.
type network struct {
	mu sync.Mutex
	// cut names the pairs of a dialling node and an address that can't connect; guarded
	// by mu.
	cut map[string]bool
	// open holds the open connections by pair; guarded by mu.
	open map[string][]net.Conn
	// silenceableConns holds the connections that silenceAll silences; guarded by mu.
	silenceableConns []silenceableConn
}

func (n *network) dialFrom(node string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		pair := node + ">" + address
		n.mu.Lock()
		cut := n.cut[pair]
		n.mu.Unlock()
		if cut {
			return nil, fmt.Errorf("%s is cut", pair)
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open[pair] = append(n.open[pair], conn)
		return conn, nil
	}
}

// set cuts or restores the path from a node to an address.
func (n *network) set(node, address string, cut bool) {
	pair := node + ">" + address
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair] = cut
	if cut {
		for _, c := range n.open[pair] {
			c.Close()
		}
		delete(n.open, pair)
	}
}

// silenceableConn is a connection that can be silenced: it then discards what is written
// and received, without an error.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (m silenceableConn) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

func (m silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := m.Conn.Read(b)
		if err != nil || !m.silent.Load() {
			return n, err
		}
	}
}

// silenceable returns a dialler whose connections silenceAll silences.
func (n *network) silenceable(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		m := silenceableConn{Conn: conn, silent: &atomic.Bool{}}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.silenceableConns = append(n.silenceableConns, m)
		return m, nil
	}
}

// silenceAll silences the open connections. New ones work.
func (n *network) silenceAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.silenceableConns {
		m.silent.Store(true)
	}
}

func nodeName(id uint64) string { return fmt.Sprintf("control-%d", id) }

// newGroup starts n control hosts, each in its own failure domain.
func newGroup(n int, adjust func(*controller.Settings)) (*group, error) {
	folder, err := os.MkdirTemp("", "controller")
	if err != nil {
		return nil, err
	}
	g := &group{
		folder: folder, adjust: adjust,
		controls: make([]*controller.Control, n), metrics: make([]*prometheus.Registry, n),
	}
	g.network.cut, g.network.open = make(map[string]bool), make(map[string][]net.Conn)
	listeners := make([]net.Listener, n)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		g.hosts = append(g.hosts, configurer.ControlHost{
			ID: uint64(i + 1), Address: listeners[i].Addr().String(), FailureDomain: fmt.Sprintf("d%d", i+1), Region: "r",
		})
	}
	for i := range listeners {
		if err := g.start(i, listeners[i]); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *group) start(i int, l net.Listener) error {
	h := g.hosts[i]
	g.metrics[i] = prometheus.NewRegistry()
	s := controller.Settings{
		Node: nodeName(h.ID), Region: h.Region, FailureDomain: h.FailureDomain, ID: h.ID, Hosts: g.hosts,
		Control:    configurer.ControlSettings{Listen: h.Address, Group: "test", Bootstrap: true},
		DataFolder: filepath.Join(g.folder, nodeName(h.ID)),
		Listener:   l,
		Dial:       g.network.dialFrom(nodeName(h.ID)),
		Recorder:   recorder.NewRecorder(recorder.Settings{Node: nodeName(h.ID)}),
		Registerer: g.metrics[i],
		Log:        zerolog.New(ginkgo.GinkgoWriter).With().Timestamp().Str("Node", nodeName(h.ID)).Logger(),
		Random:     rand.New(rand.NewPCG(h.ID, 1)),
	}
	if g.adjust != nil {
		g.adjust(&s)
	}
	c, err := controller.NewControl(s)
	if err != nil {
		return err
	}
	g.controls[i] = c
	c.Start()
	return nil
}

// gauge returns the value of a host's gauge, or -1 if there is none.
func (g *group) gauge(i int, name string) float64 {
	families, err := g.metrics[i].Gather()
	if err != nil {
		return -1
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

// leader returns the index of the host that leads and has assumed a leader's duties, or
// -1.
func (g *group) leader() int {
	for i, c := range g.controls {
		if c != nil && c.Leading() && c.Status().Role == replicator.Leader {
			return i
		}
	}
	return -1
}

// kill closes a host without a planned stop.
func (g *group) kill(i int) error {
	c := g.controls[i]
	g.controls[i] = nil
	return c.Close()
}

func (g *group) close() {
	for _, c := range g.controls {
		if c != nil {
			c.Close()
		}
	}
	os.RemoveAll(g.folder)
}

// node is a subscriber with its index.
type node struct {
	*subscriber.Client
	index *indexer.Index
}

func (g *group) node(name, domain string, scope distributor.Scope, adjust func(*subscriber.Settings)) *node {
	index := indexer.NewIndex(indexer.Settings{})
	s := subscriber.Settings{
		Node: name, Region: "r", FailureDomain: domain, Group: "test", Scope: scope, Backend: name,
		Hosts: g.hosts, Index: index, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
		Dial: g.network.dialFrom(name),
	}
	if adjust != nil {
		adjust(&s)
	}
	return &node{Client: subscriber.NewClient(s), index: index}
}

// writes numbers the changes for their idempotency keys.
var writes atomic.Int64

// putWorkspace writes a workspace through a node.
func putWorkspace(n *node, name string, share int) (storer.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return n.Propose(ctx, storer.Envelope{
		IdempotencyKey: fmt.Sprintf("%s-%d-%d", name, share, writes.Add(1)),
		Command: storer.PutResource{Resource: storer.Resource{
			Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: name, Name: name},
			Spec: storer.WorkspaceSpec{Share: share},
		}},
	})
}

// fastIntervals are short connection intervals for tests.
var fastIntervals = messenger.Settings{HeartbeatInterval: 100 * time.Millisecond, SilenceLimit: 500 * time.Millisecond}
