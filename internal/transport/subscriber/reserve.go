package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Reserve asks the leader to schedule a request to a backend server that limits requests.
// It makes one attempt. ErrUnavailable means that the leader has not answered; a turn that
// it may have granted is lost.
func (c *Client) Reserve(ctx context.Context, q regulator.Reserve) (regulator.Reserved, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	conn, done, err := c.acquireConn(ctx)
	if err != nil {
		return regulator.Reserved{}, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	defer done()
	q.TimeoutMillis = remainingMillis(ctx)
	var answer regulator.Reserved
	if err := conn.Call(ctx, messenger.MethodReserve, q, &answer); err != nil {
		return regulator.Reserved{}, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	return answer, nil
}
