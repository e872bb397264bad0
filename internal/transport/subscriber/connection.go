package subscriber

import (
	"context"
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
	for c.ctx.Err() == nil {
		connected := false
		for _, h := range orderHosts(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, avoid, c.settings.Random) {
			l, err := c.connect(h)
			if err != nil {
				c.settings.Log.Debug().Err(err).Str("Host", h.Address).Msg("subscription failed")
				if c.ctx.Err() != nil {
					return
				}
				continue
			}
			connected, pause = true, c.settings.RetryInterval
			reason := c.use(l)
			avoid = ""
			if reason != "" {
				avoid = h.Address
			}
			break
		}
		if connected {
			continue
		}
		// After the loss of all control hosts the nodes must not reconnect at the same
		// time.
		if !c.pause(time.Duration(float64(pause) * (0.5 + c.settings.Random.Float64()))) {
			return
		}
		pause = min(2*pause, c.settings.RetryMax)
	}
}

// connect dials a control host and subscribes to it.
func (c *Client) connect(h configurer.ControlHost) (*link, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.DialTimeout)
	defer cancel()
	network, err := c.settings.Dial(ctx, h.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", h.Address)
	}
	l := &link{host: h, board: registrar.NewBoard()}
	ms := c.settings.Messenger
	ms.Handler = receiver{client: c, link: l}
	l.conn = messenger.NewConn(network, ms)
	var subscribed distributor.Subscribed
	err = l.conn.Call(ctx, messenger.MethodSubscribe, distributor.Subscribe{
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
		return nil, errors.Annotatef(err, "subscribe at %s", h.Address)
	}
	if c.formation == 0 {
		c.formation = subscribed.Formation
	}
	c.metrics.connections.Inc()
	c.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindConnectionOpened, Revision: subscribed.Revision, Detail: "control host " + subscribed.Host,
	})
	return l, nil
}

// use serves a connection until it ends, and returns the reason for leaving its host; empty
// if the connection failed, the client closes, or a nearer host is to be tried.
func (c *Client) use(l *link) string {
	select {
	case <-c.leaveReason:
	default:
	}
	c.setLink(l)
	c.members.renewAll()
	defer func() {
		c.setLink(nil)
		l.retired.Store(true)
		c.workers.Go(func() { c.closeWhenIdle(l) })
	}()
	var returnTimer <-chan time.Time
	if tierOf(l.host, c.settings.Region, c.settings.FailureDomain) != c.bestTier() {
		jittered := time.Duration(float64(c.settings.ReturnInterval) * (0.5 + c.settings.Random.Float64()))
		timer := time.NewTimer(jittered)
		defer timer.Stop()
		returnTimer = timer.C
	}
	select {
	case <-c.ctx.Done():
		return ""
	case <-l.conn.Done():
		return ""
	case reason := <-c.leaveReason:
		c.metrics.left.Inc()
		c.settings.Log.Info().Str("Host", l.host.Address).Str("Reason", reason).Msg("leaving a control host")
		return reason
	case <-returnTimer:
		// Try the nearer hosts again; the others follow in the order.
		return ""
	}
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
