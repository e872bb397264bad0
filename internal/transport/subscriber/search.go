package subscriber

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

const (
	// freshFraction is the part of the configuration lease up to which the state of a
	// control host is fresh. A host in contact with a leader receives several pulses in
	// that time.
	freshFraction = 4
	// probeStagger is the part of DialTimeout after which the next control host is probed
	// although the previous one has not answered yet.
	probeStagger = 4
)

// reasonOutdated is the reason for leaving a control host that lacks contact with a leader.
const reasonOutdated = "its state is outdated"

// findFresh probes control hosts in order and returns a connection to the first one found
// whose state is fresh; nil if there is none. The connection has no subscription yet.
func (c *Client) findFresh(hosts []configurer.ControlHost) *link {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	found := make(chan *link)
	var probes sync.WaitGroup
	defer probes.Wait()
	defer cancel()
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	next, pending := 0, 0
	for next < len(hosts) || pending > 0 {
		select {
		case l := <-found:
			pending--
			if l != nil {
				return l
			}
			stagger.Reset(0)
		case <-stagger.C:
			if next == len(hosts) {
				continue
			}
			h := hosts[next]
			next++
			pending++
			probes.Go(func() { c.probe(ctx, h, found) })
			stagger.Reset(c.settings.DialTimeout / probeStagger)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// probe sends a connection to a control host to found if the host's state is fresh, and
// else nil. It closes a connection that is no longer wanted.
func (c *Client) probe(ctx context.Context, h configurer.ControlHost, found chan<- *link) {
	c.metrics.probes.Inc()
	l, err := c.dial(ctx, h)
	var p distributor.Pulse
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
		err = l.conn.Call(bounded, messenger.MethodFreshness, nil, &p)
		cancel()
	}
	if err != nil {
		c.settings.Log.Debug().Err(err).Str("Host", h.Address).Msg("probe of a control host failed")
	}
	fresh := err == nil && p.AgeMillis >= 0 && p.AgeMillis <= (c.settings.ConfigurationLease/freshFraction).Milliseconds()
	if fresh {
		select {
		case found <- l:
			return
		case <-ctx.Done():
		}
	}
	if l != nil {
		// The probe has its answer, or its error is more useful than that of Close.
		_ = l.conn.Close()
	}
	if !fresh {
		select {
		case found <- nil:
		case <-ctx.Done():
		}
	}
}

// moveTo returns a subscription to a control host with fresh state; nil if none of the
// hosts has one.
func (c *Client) moveTo(hosts []configurer.ControlHost) *link {
	l := c.findFresh(hosts)
	if l == nil {
		return nil
	}
	if err := c.subscribe(l); err != nil {
		c.settings.Log.Debug().Err(err).Str("Host", l.host.Address).Msg("subscription failed")
		return nil
	}
	return l
}

// otherHosts returns the known control hosts but one, in the order in which they are tried.
func (c *Client) otherHosts(host configurer.ControlHost) []configurer.ControlHost {
	order := orderHosts(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, "", c.settings.Random)
	return slices.DeleteFunc(order, func(h configurer.ControlHost) bool { return h.Address == host.Address })
}

// nearerHosts returns the known control hosts that are nearer than host.
func (c *Client) nearerHosts(host configurer.ControlHost) []configurer.ControlHost {
	tier := tierOf(host, c.settings.Region, c.settings.FailureDomain)
	return slices.DeleteFunc(c.otherHosts(host), func(h configurer.ControlHost) bool {
		return tierOf(h, c.settings.Region, c.settings.FailureDomain) >= tier
	})
}

// dial opens a connection to a control host.
func (c *Client) dial(ctx context.Context, h configurer.ControlHost) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	network, err := c.settings.Dial(ctx, h.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", h.Address)
	}
	return c.newLink(h, network), nil //nolint:contextcheck // The connection outlives its dial.
}
