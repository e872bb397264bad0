package flooder

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientAttempts is the number of connections that each client opens, one after another.
const clientAttempts = 3

// Crowd are clients that don't behave.
type Crowd struct {
	running sync.WaitGroup
	// settled is the number of clients that have sent what they send, or could not.
	settled atomic.Int64
}

// Join adds clients that stay until ctx ends.
func (c *Crowd) Join(ctx context.Context, clients int, m Behavior, e Endpoint) {
	if m.Path != "" {
		e.Path = m.Path
	}
	for range clients {
		c.running.Go(func() {
			settle := sync.OnceFunc(func() { c.settled.Add(1) })
			defer settle()
			for attempt := 0; attempt < clientAttempts && ctx.Err() == nil; attempt++ {
				m.attempt(ctx, e, settle)
			}
		})
	}
}

// attempt sends on a connection of its own, calls sent, and returns once the connection or ctx has ended.
func (m Behavior) attempt(ctx context.Context, e Endpoint, sent func()) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if m.Unread {
			<-ctx.Done()
			return
		}
		// Clients ignore what they are answered.
		_, _ = io.Copy(io.Discard, conn)
	}()
	if m.Unread {
		// A request that the server doesn't read blocks the client.
		timer := time.AfterFunc(time.Second, sent)
		defer timer.Stop()
	}
	if m.Send(conn, e) == nil {
		sent()
	}
	<-ended
}

// Settled returns the number of clients that have sent what they send, or could not.
func (c *Crowd) Settled() int { return int(c.settled.Load()) }

// Wait waits until all clients have left.
func (c *Crowd) Wait() { c.running.Wait() }
