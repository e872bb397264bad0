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

// run keeps a connection to some control host.
func (c *Client) run() {
	defer c.workers.Done()
	avoid := ""
	pause := c.settings.RetryInterval
	for c.ctx.Err() == nil {
		connected := false
		for _, h := range preferred(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, avoid, c.settings.Random) {
			l, err := c.connect(h)
			if err != nil {
				c.settings.Log.Debug().Err(err).Str("Host", h.Address).Msg("no subscription")
				if c.ctx.Err() != nil {
					return
				}
				continue
			}
			connected, pause = true, c.settings.RetryInterval
			why := c.use(l)
			avoid = ""
			if why != "" {
				avoid = h.Address
			}
			break
		}
		if connected {
			continue
		}
		// After the loss of all control hosts the nodes must not come back in
		// step.
		if !c.pause(time.Duration(float64(pause) * (0.5 + c.settings.Random.Float64()))) {
			return
		}
		pause = min(2*pause, c.settings.RetryMax)
	}
}

// connect dials a control host and subscribes.
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
		// The refusal tells more than an error of closing.
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

// use serves one connection until it ends, and returns why it was left; empty
// where it broke or the client closes.
func (c *Client) use(l *link) string {
	select {
	case <-c.leave:
	default:
	}
	c.setLink(l)
	c.members.again()
	defer func() {
		c.setLink(nil)
		l.retired.Store(true)
		c.workers.Go(func() { c.retire(l) })
	}()
	var comeBack <-chan time.Time
	if tierOf(l.host, c.settings.Region, c.settings.FailureDomain) != c.bestTier() {
		jittered := time.Duration(float64(c.settings.ReturnInterval) * (0.5 + c.settings.Random.Float64()))
		timer := time.NewTimer(jittered)
		defer timer.Stop()
		comeBack = timer.C
	}
	select {
	case <-c.ctx.Done():
		return ""
	case <-l.conn.Done():
		return ""
	case why := <-c.leave:
		c.metrics.left.Inc()
		c.settings.Log.Info().Str("Host", l.host.Address).Str("Reason", why).Msg("leaving a control host")
		return why
	case <-comeBack:
		// Try the hosts nearby again; the others are still in the order.
		return ""
	}
}

// retire closes a connection that is used no more, once its calls have ended. A
// change that was sent over it would else be of unknown outcome, although its
// control host only stops and answers it.
func (c *Client) retire(l *link) {
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

// pause waits, and returns false when the client closes.
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
