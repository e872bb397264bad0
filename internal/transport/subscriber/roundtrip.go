package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
)

const (
	// linkPollInterval is the interval at which it is checked whether a round trip is to be
	// measured.
	linkPollInterval = 50 * time.Millisecond
	// roundTripTimeout bounds the measurement of a round trip. A longer one shows that the
	// host's link is saturated, whatever its time.
	roundTripTimeout = 2 * moderator.MaxExcess
	// roundTripPeers is the number of control hosts to which round trips are measured.
	roundTripPeers = 3
)

// watchLink measures round trips to control hosts for the limit on the connections that this host
// accepts, until the client closes.
func (c *Client) watchLink(m *moderator.Moderator, random *rand.Rand) {
	limited := false
	for c.pause(linkPollInterval) {
		if m.MeasurementDue(c.settings.Now()) {
			if took, ok := c.roundTrip(random); ok {
				m.RecordRoundTrip(c.settings.Now(), took)
			}
		}
		if perSecond, now := m.Limit(); now != limited {
			limited = now
			c.settings.Log.Info().Bool("Limited", limited).Float64("PerSecond", perSecond).Msg("limit of new connections changed")
		}
	}
}

// roundTrip measures the time to open a connection to control hosts, the shortest of several, or
// the time after which all were given up. It returns false if all failed at once.
func (c *Client) roundTrip(random *rand.Rand) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(c.ctx, roundTripTimeout)
	var dials sync.WaitGroup
	defer dials.Wait()
	defer cancel()
	hosts := orderHosts(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, "", random)
	hosts = hosts[:min(roundTripPeers, len(hosts))]
	began := c.settings.Now()
	opened := make(chan bool, len(hosts))
	for _, h := range hosts {
		dials.Go(func() {
			conn, err := c.settings.Dial(ctx, h.Address)
			if err == nil {
				// Only its opening counts.
				_ = conn.Close()
			}
			opened <- err == nil
		})
	}
	for range hosts {
		select {
		case ok := <-opened:
			if ok {
				return c.settings.Now().Sub(began), true
			}
		case <-ctx.Done():
			return c.settings.Now().Sub(began), true
		}
	}
	return 0, ctx.Err() != nil
}
