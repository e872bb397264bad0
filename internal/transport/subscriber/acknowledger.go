package subscriber

import (
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// urgentBatches is the number of deltas from which an acknowledgement leaves at
// once: half a window, so that the control host need not wait.
const urgentBatches = distributor.DefaultWindow / 2

// acknowledgements gathers those of a burst into one message.
type acknowledgements struct {
	// signal wakes the sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// on is the connection whose deltas latest acknowledges, or nil where none
	// waits; guarded by mu.
	on     *messenger.Conn
	latest distributor.AcknowledgeRevision
	// told is the number of batches acknowledged on the connection; guarded by
	// mu.
	told uint64
}

func newAcknowledgements() *acknowledgements {
	return &acknowledgements{signal: make(chan struct{}, 1)}
}

// add notes an acknowledgement, and reports whether it must leave at once.
func (a *acknowledgements) add(on *messenger.Conn, ack distributor.AcknowledgeRevision) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ack.Batches == 1 {
		a.told = 0
	}
	a.on, a.latest = on, ack
	select {
	case a.signal <- struct{}{}:
	default:
	}
	return ack.Batches-a.told >= urgentBatches
}

// take returns the acknowledgement that waits, if there is one.
func (a *acknowledgements) take() (on *messenger.Conn, ack distributor.AcknowledgeRevision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	on, a.on = a.on, nil
	a.told = a.latest.Batches
	return on, a.latest
}

// acknowledge sends acknowledgements, at most one for each AcknowledgeInterval.
func (c *Client) acknowledge() {
	defer c.workers.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.acks.signal:
		}
		c.sendAcknowledgement()
		if !c.pause(c.settings.AcknowledgeInterval) {
			return
		}
	}
}

// sendAcknowledgement sends the one that waits. One that is lost with its
// connection is not missed: the next subscription tells the revision.
func (c *Client) sendAcknowledgement() {
	if on, ack := c.acks.take(); on != nil {
		_ = on.Notify(c.ctx, messenger.MethodApplied, ack)
	}
}
