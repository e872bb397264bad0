package messenger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Pace tells the other end how soon this end wants to know that it lives.
type Pace struct {
	_ struct{} `cbor:",toarray"`
	// Attended means that something waits here for the other end: both beat at
	// Settings.HeartbeatInterval, and not at QuietInterval.
	Full bool
}

// Attend has both ends beat at the full pace from now on, until Rest: something at this
// end waits for the other. It does nothing where there is no slower pace.
//
// Between every entry and every companion most connections carry a call every twenty
// seconds. At 68 entries before 117 companions, heartbeats at the full pace on all of
// them were more than all other messages together.
func (c *Conn) UseFullPace() {
	if c.settings.QuietInterval <= 0 || c.attending.Swap(true) {
		return
	}
	c.attendedAt.Store(int64(time.Since(c.began)))
	c.hasten()
	c.sendPace()
}

// Rest ends what Attend began.
func (c *Conn) AllowQuietPace() {
	if c.attending.Swap(false) {
		c.sendPace()
	}
}

// Attended reports whether this end has asked for the full pace.
func (c *Conn) UsesFullPace() bool { return c.attending.Load() }

// Answered reports whether the other end was heard of since this one began to attend.
func (c *Conn) ReceivedAtFullPace() bool { return c.heard.Load() > c.attendedAt.Load() }

// sendPace tells the other end of this one's pace. It does not wait: a write to a
// silent connection blocks once its buffer is full.
func (c *Conn) sendPace() {
	if !c.begin() {
		return
	}
	go func() {
		defer c.serving.Done()
		if err := c.notice(MethodPace, Pace{Full: c.attending.Load()}); err != nil {
			c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("pace not told")
		}
	}()
}

// paced takes the other end's pace. One that wants to know soon is answered at once.
func (c *Conn) paced(params []byte) {
	var p Pace
	if err := cbor.Unmarshal(params, &p); err != nil {
		c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("pace not understood")
		return
	}
	c.peerPaces.Store(true)
	if c.peerAttends.Store(p.Full); p.Full {
		c.hasten()
	}
}

// hasten has a heartbeat sent at once.
func (c *Conn) hasten() {
	select {
	case c.hurry <- struct{}{}:
	default:
	}
}

// quiet reports whether the slower pace is in force. An end that has told nothing of
// its pace, such as one of an earlier version, knows the full one only.
func (c *Conn) quiet() bool {
	return c.settings.QuietInterval > 0 && c.peerPaces.Load() && !c.attending.Load() && !c.peerAttends.Load()
}

// interval returns the time between two heartbeats.
func (c *Conn) interval() time.Duration {
	if c.quiet() {
		return c.settings.QuietInterval
	}
	return c.settings.HeartbeatInterval
}

// beat sends heartbeats and closes the connection once it has been silent for
// the limit. Without it a call on a connection which a middle box has forgotten
// would hang until its deadline, although a new connection would serve it.
//
// Whatever else was sent stands for a heartbeat: on connections that tell an engine's
// state several times a second none is needed.
func (c *Conn) beat(ctx context.Context) {
	defer c.serving.Done()
	timer := time.NewTimer(c.settings.HeartbeatInterval)
	defer timer.Stop()
	due := make(chan struct{}, 1)
	go c.sendHeartbeats(ctx, due)
	for {
		hurried := false
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			c.cancel()
			return
		case <-c.hurry:
			hurried = true
		case <-timer.C:
		}
		if silence, _ := c.Silence(); silence > c.settings.SilenceLimit {
			c.fallSilent()
			return
		}
		interval := c.interval()
		quiet := time.Since(c.began) - time.Duration(c.sent.Load())
		if !hurried && quiet < interval {
			timer.Reset(interval - quiet)
			continue
		}
		select {
		case due <- struct{}{}:
		default:
		}
		timer.Reset(interval)
	}
}

// sendHeartbeats runs apart from the silence check: a write to a silent connection
// blocks once its buffer is full.
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
