package moderator_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
)

// link is a link with one queue, and a host whose callers send a request with each connection.
type link struct {
	// bytesPerSecond is the rate of the link, and queued the number of bytes that wait for it.
	bytesPerSecond, queued float64
	// baseline is the round-trip time of the idle link.
	baseline time.Duration
}

// delay returns the time that a new segment waits in the queue.
func (l *link) delay() time.Duration {
	return time.Duration(l.queued / l.bytesPerSecond * float64(time.Second))
}

// outcome is the result of a simulation.
type outcome struct {
	// tried and accepted count the connections, after the first second.
	tried, accepted int
	// late counts the accepted connections whose request waited for longer than its caller.
	late int
	// limited is whether there was a limit at any time.
	limited bool
}

const (
	step         = time.Millisecond
	requestBytes = 10_000
	patience     = time.Second
	// giveUp is the time after which a measurement of a round trip ends.
	giveUp = 2 * moderator.MaxExcess
)

// simulate lets callers connect at a rate for ten seconds, of which all but the first and the last
// two have load times as many.
func simulate(l *link, perSecond, load float64) outcome {
	m := moderator.NewModerator()
	start := time.Unix(1000, 0)
	var o outcome
	var measuredAt, due time.Time
	var measured time.Duration
	callers := 0.0
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(step) {
		l.queued = max(0, l.queued-l.bytesPerSecond*step.Seconds())
		elapsed := now.Sub(start)
		factor := 1.0
		if elapsed > time.Second && elapsed < 8*time.Second {
			factor = load
		}
		for callers += perSecond * factor * step.Seconds(); callers >= 1; callers-- {
			counts := elapsed > 3*time.Second && elapsed < 8*time.Second
			if counts {
				o.tried++
			}
			if m.Pause(now) > 0 {
				continue
			}
			if counts {
				o.accepted++
				if l.delay() > patience {
					o.late++
				}
			}
			l.queued += requestBytes
			m.RecordAccepted(now)
		}
		switch {
		case !due.IsZero() && !now.Before(due):
			m.RecordRoundTrip(now, measured)
			due = time.Time{}
		case due.IsZero() && m.MeasurementDue(now):
			measuredAt, measured = now, min(giveUp, l.baseline+l.delay())
			due = measuredAt.Add(measured)
		}
		o.limited = o.limited || m.Limited()
	}
	return o
}

// TestModeratorPreventsCollapse guards against a host that accepts more callers than its link
// carries, so that all of their requests arrive late, at links of different rates.
func TestModeratorPreventsCollapse(t *testing.T) {
	for _, perSecond := range []float64{1.25e6, 12.5e6, 125e6} {
		for _, load := range []float64{1.5, 3, 10} {
			t.Run(fmt.Sprintf("%g bytes per second, load %g", perSecond, load), func(t *testing.T) {
				carried := perSecond / requestBytes
				o := simulate(&link{bytesPerSecond: perSecond, baseline: 3 * time.Millisecond}, carried/2, 2*load)
				t.Logf("%d of %d accepted, %d late; the link carries %.0f", o.accepted, o.tried, o.late, carried*5)
				if 4*o.late > o.accepted {
					t.Errorf("%d of %d accepted requests were late", o.late, o.accepted)
				}
				if float64(o.accepted) < carried*5/4 {
					t.Errorf("%d requests were accepted, less than a quarter of what the link carries", o.accepted)
				}
			})
		}
	}
}

// TestModeratorLeavesSpareLinksAlone guards against refused callers while the link has room.
func TestModeratorLeavesSpareLinksAlone(t *testing.T) {
	const perSecond = 1.25e6
	if o := simulate(&link{bytesPerSecond: perSecond, baseline: 3 * time.Millisecond}, perSecond/requestBytes/5, 4); o.limited || o.accepted != o.tried {
		t.Errorf("%d of %d accepted, limited %v", o.accepted, o.tried, o.limited)
	}
}

// TestModeratorReleases guards against a limit that outlasts the load.
func TestModeratorReleases(t *testing.T) {
	m := moderator.NewModerator()
	now := time.Unix(1000, 0)
	m.RecordRoundTrip(now, time.Millisecond)
	for range 20 {
		m.RecordAccepted(now)
	}
	m.RecordRoundTrip(now.Add(step), giveUp)
	m.RecordRoundTrip(now.Add(2*step), giveUp)
	if !m.Limited() {
		t.Fatal("no limit although the link is saturated")
	}
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		m.RecordRoundTrip(now, time.Millisecond)
	}
	if m.Limited() {
		t.Error("the limit remains without callers")
	}
}

// TestModeratorWithoutPeers guards against a host that refuses callers because its peers are gone.
func TestModeratorWithoutPeers(t *testing.T) {
	m := moderator.NewModerator()
	now := time.Unix(1000, 0)
	m.RecordRoundTrip(now, time.Millisecond)
	m.RecordRoundTrip(now, giveUp)
	if m.Limited() {
		t.Error("one long round trip limits connections")
	}
	m.RecordRoundTrip(now, giveUp)
	m.RecordNoPeers(now)
	if m.Limited() || m.Pause(now) > 0 {
		t.Error("connections are limited although no peer is known")
	}
}
