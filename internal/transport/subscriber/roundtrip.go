package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
)

const (
	// linkPollInterval is the interval at which it is checked whether a round trip is to be
	// measured.
	linkPollInterval = 50 * time.Millisecond
	// roundTripTimeout bounds the measurement of a round trip. A longer one shows that the
	// host's link is saturated, whatever its time.
	roundTripTimeout = 2 * moderator.MaxExcess
	// roundTripHosts and roundTripPeers are the numbers of control hosts and of other peers to
	// which round trips are measured.
	roundTripHosts = 2
	roundTripPeers = 2
)

// watchLink measures round trips for the limit on the connections that this host accepts, until the
// client closes.
func (c *Client) watchLink(m *moderator.Moderator, random *rand.Rand) {
	limited := false
	for c.pause(linkPollInterval) {
		if m.MeasurementDue(c.settings.Now()) {
			if took, ok := c.roundTrip(random); ok {
				m.RecordRoundTrip(c.settings.Now(), took)
			} else {
				m.RecordNoPeers(c.settings.Now())
			}
		}
		if perSecond, now := m.Limit(); now != limited {
			limited = now
			c.settings.Log.Info().Bool("Limited", limited).Float64("PerSecond", perSecond).Msg("limit of new connections changed")
		}
	}
}

// roundTrip measures the time to open a connection to control hosts and other peers, the shortest of
// several, or the time after which all were given up. It returns false if that says nothing about
// the link, since no peer is known beside the control hosts, which may all be lost.
func (c *Client) roundTrip(random *rand.Rand) (time.Duration, bool) {
	hosts := orderHosts(c.knownHosts(), c.settings.Region, c.settings.FailureDomain, "", random)
	var addresses []string
	for _, h := range hosts[:min(roundTripHosts, len(hosts))] {
		addresses = append(addresses, h.Address)
	}
	peers := c.settings.Peers(random, roundTripPeers)
	addresses = append(addresses, peers...)

	ctx, cancel := context.WithTimeout(c.ctx, roundTripTimeout)
	var dials sync.WaitGroup
	defer dials.Wait()
	defer cancel()
	began := c.settings.Now()
	answered := make(chan bool, len(addresses))
	for _, address := range addresses {
		dials.Go(func() {
			conn, err := c.settings.Dial(ctx, address)
			if err == nil {
				// Only its opening counts.
				_ = conn.Close()
			}
			// A refusal has made the same round trip.
			answered <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		})
	}
	for range addresses {
		if <-answered {
			return c.settings.Now().Sub(began), true
		}
	}
	return c.settings.Now().Sub(began), len(peers) > 0
}
