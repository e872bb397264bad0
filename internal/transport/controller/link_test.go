package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// TestLinkToHostThatReturns guards against messages that wait for the end of a dial begun
// before their host was back. After a power failure, the first host that is back polls
// another one without power, and the dial gets no answer; the other is back 200 ms later.
// No leader would be found for a second, though all hosts are back within a third of it.
func TestLinkToHostThatReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var arrived atomic.Int64
		quiet := messenger.Settings{HeartbeatInterval: time.Hour, SilenceLimit: 24 * time.Hour}
		far := quiet
		far.Handler = messenger.HandlerFunc(func(context.Context, *messenger.Conn, messenger.Method, json.RawMessage) (any, error) {
			arrived.CompareAndSwap(0, int64(time.Since(began)))
			return nil, nil
		})
		var ends []*messenger.Conn
		dial := func(ctx context.Context, _ string) (net.Conn, error) {
			if time.Since(began) < 200*time.Millisecond {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, other := net.Pipe()
			ends = append(ends, messenger.NewConn(other, far)) //nolint:contextcheck // The connection outlives the dial.
			return near, nil
		}
		pool := newLinkPool(quiet, rand.New(rand.NewPCG(1, 2)), dial)
		l := newLinks(pool, []configurer.ControlHost{{ID: 2, Address: "host-2"}})
		for range 10 {
			l.Send(2, []replicator.Message{{Kind: replicator.PreVoteRequest, To: 2}})
			<-time.After(100 * time.Millisecond)
		}
		l.close()
		if err := pool.Close(); err != nil {
			t.Error(err)
		}
		for _, c := range ends {
			_ = c.Close()
		}
		if at := time.Duration(arrived.Load()); at == 0 || at > 500*time.Millisecond {
			t.Errorf("the first poll arrived after %v", at)
		}
	})
}
