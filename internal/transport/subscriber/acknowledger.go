package subscriber

import (
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// immediateAckBatches is the number of unacknowledged batches from which an acknowledgement
// is sent at once: half a window, so that the control host need not wait.
const immediateAckBatches = distributor.DefaultWindow / 2

// acknowledgements combines the acknowledgements of a burst of deltas into one message.
type acknowledgements struct {
	// signal wakes the sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// conn is the connection whose deltas latest acknowledges, or nil if none is pending;
	// guarded by mu.
	conn   *messenger.Conn
	latest distributor.AcknowledgeRevision
	// ackedBatches is the number of batches acknowledged on the connection; guarded by mu.
	ackedBatches uint64
}

func newAcknowledgements() *acknowledgements {
	return &acknowledgements{signal: make(chan struct{}, 1)}
}

// add records an acknowledgement, and reports whether it must be sent at once.
func (a *acknowledgements) add(conn *messenger.Conn, ack distributor.AcknowledgeRevision) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ack.Batches == 1 {
		a.ackedBatches = 0
	}
	a.conn, a.latest = conn, ack
	select {
	case a.signal <- struct{}{}:
	default:
	}
	return ack.Batches-a.ackedBatches >= immediateAckBatches
}

// take returns the pending acknowledgement; conn is nil if there is none.
func (a *acknowledgements) take() (conn *messenger.Conn, ack distributor.AcknowledgeRevision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, a.conn = a.conn, nil
	a.ackedBatches = a.latest.Batches
	return conn, a.latest
}

// acknowledgeLoop sends acknowledgements, at most one per AcknowledgeInterval.
func (c *Client) acknowledgeLoop() {
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

// sendAcknowledgement sends the pending acknowledgement. One that is lost with its
// connection need not be repeated, as the next subscription contains the revision.
func (c *Client) sendAcknowledgement() {
	if conn, ack := c.acks.take(); conn != nil {
		_ = conn.Notify(c.ctx, messenger.MethodApplied, ack)
	}
}
