package messenger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Pace is the heartbeat pace that one end requests of both ends.
type Pace struct {
	_ struct{} `cbor:",toarray"`
	// Full means that the sender waits for its peer: both ends send heartbeats every
	// Settings.HeartbeatInterval instead of every QuietInterval.
	Full bool
}

// UseFullPace makes both ends send heartbeats at the full pace until AllowQuietPace,
// because something at this end waits for the peer. It has no effect if
// Settings.QuietInterval is 0.
//
// Most connections between entries and companions carry one call every twenty seconds.
// With 68 entries and 117 companions, heartbeats at the full pace on all connections
// outnumbered all other messages together.
func (c *Conn) UseFullPace() {
	if c.settings.QuietInterval <= 0 || c.fullPace.Swap(true) {
		return
	}
	c.fullPaceSince.Store(int64(time.Since(c.started)))
	c.requestHeartbeat()
	c.sendPace()
}

// AllowQuietPace withdraws the request of UseFullPace.
func (c *Conn) AllowQuietPace() {
	if c.fullPace.Swap(false) {
		c.sendPace()
	}
}

// UsesFullPace reports whether this end requests the full pace.
func (c *Conn) UsesFullPace() bool { return c.fullPace.Load() }

// ReceivedAtFullPace reports whether a message of the peer was received since this end
// last requested the full pace.
func (c *Conn) ReceivedAtFullPace() bool { return c.lastReceived.Load() > c.fullPaceSince.Load() }

// sendPace sends the requested pace to the peer. It does not wait, since a write to a
// silent connection blocks once the send buffer is full.
func (c *Conn) sendPace() {
	if !c.beginHandler() {
		return
	}
	go func() {
		defer c.serving.Done()
		if err := c.sendNotice(MethodPace, Pace{Full: c.fullPace.Load()}); err != nil {
			c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("cannot send heartbeat pace")
		}
	}()
}

// handlePace stores the pace that the peer requests. A request for the full pace is
// answered immediately with a heartbeat.
func (c *Conn) handlePace(params []byte) {
	var p Pace
	if err := cbor.Unmarshal(params, &p); err != nil {
		c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("cannot decode heartbeat pace")
		return
	}
	c.peerSendsPace.Store(true)
	if c.peerFullPace.Store(p.Full); p.Full {
		c.requestHeartbeat()
	}
}

// requestHeartbeat requests that a heartbeat be sent immediately.
func (c *Conn) requestHeartbeat() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// atQuietPace reports whether heartbeats are sent at the quiet pace. A peer that has sent
// no Pace, such as one of an earlier version, supports only the full pace.
func (c *Conn) atQuietPace() bool {
	return c.settings.QuietInterval > 0 && c.peerSendsPace.Load() && !c.fullPace.Load() && !c.peerFullPace.Load()
}

// interval returns the current time between two heartbeats.
func (c *Conn) interval() time.Duration {
	if c.atQuietPace() {
		return c.settings.QuietInterval
	}
	return c.settings.HeartbeatInterval
}

// runHeartbeats sends heartbeats and closes the connection once it has exceeded the
// silence limit. Otherwise a call on a connection whose state a middlebox has lost would
// hang until its deadline, although a new connection would work.
//
// Any other message replaces a heartbeat: connections that report the state of an engine
// several times a second need none.
func (c *Conn) runHeartbeats(ctx context.Context) {
	defer c.serving.Done()
	timer := time.NewTimer(c.settings.HeartbeatInterval)
	defer timer.Stop()
	due := make(chan struct{}, 1)
	go c.sendHeartbeats(ctx, due)
	for {
		immediate := false
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			c.cancel()
			return
		case <-c.heartbeatNow:
			immediate = true
		case <-timer.C:
		}
		if silence, _ := c.Silence(); silence > c.settings.SilenceLimit {
			c.closeSilent()
			return
		}
		interval := c.interval()
		sinceLastSent := time.Since(c.started) - time.Duration(c.lastSent.Load())
		if !immediate && sinceLastSent < interval {
			timer.Reset(interval - sinceLastSent)
			continue
		}
		select {
		case due <- struct{}{}:
		default:
		}
		timer.Reset(interval)
	}
}

// sendHeartbeats runs in a goroutine separate from the silence check, since a write to a
// silent connection blocks once the send buffer is full.
func (c *Conn) sendHeartbeats(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			if err := c.Notify(ctx, MethodHeartbeat, nil); err != nil {
				return
			}
		}
	}
}
