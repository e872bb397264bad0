package controller

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// linkQueueLength is the number of message batches queued for one host. Further batches
// are dropped, as the network might drop them.
const linkQueueLength = 256

// links sends the replicated log's messages to the other hosts. It implements
// replicator.Transport.
type links struct {
	pool *dialer.Pool
	// configuredAddresses holds the addresses from the settings; guarded by mu.
	configuredAddresses map[replicator.HostID]string
	ctx                 context.Context
	stop                context.CancelFunc
	done                sync.WaitGroup

	mu sync.Mutex
	// queues holds one send queue for each host; guarded by mu.
	queues map[replicator.HostID]chan []replicator.Message
	// memberAddresses holds the addresses of the group's members; guarded by mu.
	memberAddresses map[replicator.HostID]string
}

// newLinkPool returns the pool of connections to the other control hosts.
func newLinkPool(s messenger.Settings, random *rand.Rand, dial func(context.Context, string) (net.Conn, error)) *dialer.Pool {
	return dialer.NewPool(dialer.Settings{
		Messenger: s, Random: random, Dial: dial, DialTimeout: linkDialTimeout, BackOffMax: linkBackOffMax,
	})
}

func newLinks(pool *dialer.Pool, hosts []configurer.ControlHost) *links {
	l := &links{
		pool:                pool,
		configuredAddresses: make(map[replicator.HostID]string),
		queues:              make(map[replicator.HostID]chan []replicator.Message),
		memberAddresses:     make(map[replicator.HostID]string),
	}
	for _, h := range hosts {
		l.configuredAddresses[replicator.HostID(h.ID)] = h.Address
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// updateMembers records the addresses of the group's members.
func (l *links) updateMembers(members []replicator.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.memberAddresses[m.ID] = m.Address
	}
}

// address returns the address of a host, or "" if it is unknown. The group's own record
// takes precedence over the settings, which may be older.
func (l *links) address(id replicator.HostID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.memberAddresses[id]; a != "" {
		return a
	}
	return l.configuredAddresses[id]
}

// allAddresses returns the addresses of all configured hosts and group members.
func (l *links) allAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := slices.Collect(maps.Values(l.configuredAddresses))
	for _, a := range l.memberAddresses {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// setConfigured replaces the addresses from the settings.
func (l *links) setConfigured(hosts []configurer.ControlHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.configuredAddresses)
	for _, h := range hosts {
		l.configuredAddresses[replicator.HostID(h.ID)] = h.Address
	}
}

// Send queues messages for a host. It never blocks; messages are dropped if the queue is
// full.
func (l *links) Send(to replicator.HostID, ms []replicator.Message) {
	l.mu.Lock()
	queue, ok := l.queues[to]
	if !ok {
		queue = make(chan []replicator.Message, linkQueueLength)
		l.queues[to] = queue
		l.done.Add(1)
		go l.run(to, queue)
	}
	l.mu.Unlock()
	select {
	case queue <- ms:
	default:
	}
}

// run sends the messages queued for one host.
func (l *links) run(to replicator.HostID, queue <-chan []replicator.Message) {
	defer l.done.Done()
	for {
		select {
		case <-l.ctx.Done():
			return
		case ms := <-queue:
			l.deliver(to, ms)
		}
	}
}

func (l *links) deliver(to replicator.HostID, ms []replicator.Message) {
	address := l.address(to)
	if address == "" {
		return
	}
	conn, err := l.pool.Conn(l.ctx, address)
	if err != nil {
		return
	}
	// The replicator resends lost messages.
	_ = conn.Notify(l.ctx, messenger.MethodReplicate, ms)
}

// close stops sending and waits until it has stopped. Send must not be called afterwards.
func (l *links) close() {
	l.stop()
	l.done.Wait()
}
