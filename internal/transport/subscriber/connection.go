package subscriber

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// run keeps a connection to one of the control hosts.
func (c *Client) run() {
	defer c.workers.Done()
	avoid := ""
	pause := c.settings.RetryInterval
	var l *link
	for c.ctx.Err() == nil {
		if l == nil {
			l = c.connectAny(avoid)
		}
		if l == nil {
			// After the loss of all control hosts the nodes must not reconnect at the same
			// time.
			if !c.pause(time.Duration(float64(pause) * (0.5 + c.settings.Random.Float64()))) {
				return
			}
			pause = min(2*pause, c.settings.RetryMax)
			continue
		}
		pause = c.settings.RetryInterval
		host := l.host.Address
		var reason string
		reason, l = c.use(l)
		avoid = ""
		if reason != "" {
			avoid = host
		}
	}
	if l != nil {
		// The client closes; the subscription was never used.
		_ = l.conn.Close()
	}
}

// connectAny subscribes to the first control host whose state is fresh, or else to the first
// that answers; nil if none does.
func (c *Client) connectAny(avoid string) *link {
	order := orderHosts(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, avoid, c.settings.Random)
	// After a start there may be no leader yet, and a host whose state is old is better than
	// none.
	if _, known := c.Age(); known {
		if l := c.moveTo(order); l != nil {
			return l
		}
	}
	for _, h := range order {
		l, err := c.dial(c.ctx, h)
		if err == nil {
			err = c.subscribe(l)
		}
		if err == nil {
			return l
		}
		c.settings.Log.Debug().Err(err).Str("Host", h.Address).Msg("subscription failed")
		if c.ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// newLink returns a link over a network connection, without a subscription.
func (c *Client) newLink(h configurer.ControlHost, network net.Conn) *link {
	l := &link{host: h, board: registrar.NewBoard()}
	ms := c.settings.Messenger
	ms.Handler = receiver{client: c, link: l}
	l.conn = messenger.NewConn(network, ms)
	return l
}

// subscribe subscribes over a link, and closes it if that fails.
func (c *Client) subscribe(l *link) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.DialTimeout)
	defer cancel()
	var subscribed distributor.Subscribed
	err := l.conn.Call(ctx, messenger.MethodSubscribe, distributor.Subscribe{
		Group:         c.settings.Group,
		Formation:     c.formation,
		Node:          c.settings.Node,
		Region:        c.settings.Region,
		FailureDomain: c.settings.FailureDomain,
		Scope:         c.settings.Scope,
		Backend:       c.settings.Backend,
		After:         c.settings.Index.Revision(),
	}, &subscribed)
	if effectOf(err) == effectRefused {
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindFault, Detail: err.Error()})
	}
	if err != nil {
		// The error of the subscription is more useful than that of Close.
		_ = l.conn.Close()
		return errors.Annotatef(err, "subscribe at %s", l.host.Address)
	}
	if c.formation == 0 {
		c.formation = subscribed.Formation
	}
	c.metrics.connections.Inc()
	c.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindConnectionOpened, Revision: subscribed.Revision, Detail: "control host " + subscribed.Host,
	})
	return nil
}

// use serves a connection until it ends or another host is to be used. It returns the reason
// for leaving the host, empty if the connection failed, the client closes, or the next host
// is nearer; and the subscription to use next, if there is one.
func (c *Client) use(l *link) (string, *link) {
	c.discardSignals()
	c.setLink(l)
	c.members.renewAll()
	defer func() {
		c.setLink(nil)
		l.retired.Store(true)
		c.workers.Go(func() { c.closeWhenIdle(l) })
	}()
	var returnTicks <-chan time.Time
	if tierOf(l.host, c.settings.Region, c.settings.FailureDomain) != c.bestTier() {
		jittered := time.Duration(float64(c.settings.ReturnInterval) * (0.5 + c.settings.Random.Float64()))
		ticker := time.NewTicker(jittered)
		defer ticker.Stop()
		returnTicks = ticker.C
	}
	for {
		select {
		case <-c.ctx.Done():
			return "", nil
		case <-l.conn.Done():
			return "", nil
		case reason := <-c.leaveReason:
			c.logLeaving(l, reason, "")
			return reason, nil
		case <-c.outdated:
			if next := c.moveTo(c.otherHosts(l.host)); next != nil {
				c.logLeaving(l, reasonOutdated, next.host.Address)
				return reasonOutdated, next
			}
		case <-returnTicks:
			if next := c.moveTo(c.nearerHosts(l.host)); next != nil {
				return "", next
			}
		}
	}
}

// discardSignals drops the signals that concern the previous connection.
func (c *Client) discardSignals() {
	select {
	case <-c.leaveReason:
	default:
	}
	select {
	case <-c.outdated:
	default:
	}
}

// logLeaving logs that a control host is left. Next is the address of the host that is used
// afterwards; empty if it is not known yet.
func (c *Client) logLeaving(l *link, reason, next string) {
	c.metrics.left.Inc()
	entry := c.settings.Log.Info().Str("Host", l.host.Address).Str("Reason", reason)
	if next != "" {
		entry = entry.Str("Next", next)
	}
	if age, known := c.Age(); known {
		entry = entry.Dur("Age", age)
	}
	entry.Msg("leaving a control host")
}

// closeWhenIdle closes a connection that is no longer in use once its calls have ended.
// Closing it earlier would make the outcome of a change unknown although its control host,
// which is only stopping, still answers it.
func (c *Client) closeWhenIdle(l *link) {
	idle := make(chan struct{})
	go func() {
		l.calls.Wait()
		close(idle)
	}()
	timer := time.NewTimer(c.settings.CallTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	case <-c.ctx.Done():
	}
	if err := l.conn.Close(); err != nil {
		c.settings.Log.Debug().Err(err).Msg("closing a connection")
	}
	<-idle
}

// bestTier returns the tier of the nearest control hosts.
func (c *Client) bestTier() int {
	best := tierOther
	for _, h := range c.knownHosts() {
		best = min(best, tierOf(h, c.settings.Region, c.settings.FailureDomain))
	}
	return best
}

// pause waits for d, and returns false when the client closes.
func (c *Client) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
