package controller

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// reserve serves MethodReserve: the leader schedules a request to a backend server.
func (c *Control) reserve(ctx context.Context, q regulator.Reserve) (answer regulator.Reserved, err error) {
	ctx, cancel := bounded(ctx, q.TimeoutMillis)
	defer cancel()
	err = c.onLeader(ctx, q.Forwarded, func(context.Context) error {
		d := c.currentDuties()
		if d == nil {
			return c.notLeader()
		}
		answer = d.reserve(q)
		return nil
	}, func(ctx context.Context, conn *messenger.Conn) error {
		q.Forwarded, q.TimeoutMillis = true, remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodReserve, q, &answer)
	})
	return answer, err
}

// limits returns the limits of backend servers whose requests the leader schedules.
func (d *duties) limits(now time.Time) []regulator.ServerLimit {
	d.scheduleMu.Lock()
	defer d.scheduleMu.Unlock()
	return d.schedule.Limits(now)
}

// reserve schedules a request.
func (d *duties) reserve(q regulator.Reserve) regulator.Reserved {
	d.scheduleMu.Lock()
	defer d.scheduleMu.Unlock()
	answer := d.schedule.Reserve(d.control.settings.Now(), q)
	d.control.metrics.limitedServers.Set(float64(d.schedule.Len()))
	return answer
}
