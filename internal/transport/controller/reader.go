package controller

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// tallyTimeout bounds the wait for the tallies of the other hosts.
const tallyTimeout = time.Second

// read serves reads of the replicated state. Unless the reader permits stale data, it
// first waits until this host has applied everything accepted before the call.
func (c *Control) read(ctx context.Context, r distributor.Read) (distributor.ReadAnswer, error) {
	bound, cancel := bounded(ctx, r.TimeoutMillis)
	defer cancel()
	if !r.Behind {
		if err := c.barrier(bound); err != nil {
			return distributor.ReadAnswer{}, err
		}
	}
	limit := distributor.ReadLimit
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	switch r.Kind {
	case distributor.ReadGet:
		return c.readOne(r), nil
	case distributor.ReadList:
		return c.readList(r, limit), nil
	case distributor.ReadSince:
		return c.readSince(ctx, r, limit), nil
	default:
		return distributor.ReadAnswer{}, messenger.NewRefusal(messenger.ReasonMalformed, "unknown kind of read")
	}
}

func (c *Control) readOne(r distributor.Read) distributor.ReadAnswer {
	a := distributor.ReadAnswer{Revision: c.store.Revision()}
	if resource, ok := c.store.Get(r.Key); ok {
		a.Resources = append(a.Resources, resource)
	}
	return a
}

// readList returns the page after the last name of the previous page. With positions in
// place of names, a page would skip one resource for each earlier one deleted in the
// meantime: a list read while backend servers leave would lack some that stay.
func (c *Control) readList(r distributor.Read, limit int) distributor.ReadAnswer {
	all, revision := c.store.List(r.Key.Kind, r.Key.Workspace)
	if r.Key.Name != "" {
		last := pageCursor(r)
		i, found := slices.BinarySearchFunc(all, last, func(e storer.Resource, last storer.Metadata) int {
			return cmp.Or(
				cmp.Compare(e.Metadata.Workspace, last.Workspace),
				cmp.Compare(e.Metadata.Name, last.Name),
			)
		})
		if found {
			i++
		}
		all = all[i:]
	}
	n := min(limit, len(all))
	return distributor.ReadAnswer{Resources: all[:n], Revision: revision, More: n < len(all)}
}

// pageCursor returns the workspace and name of the last resource of the previous page.
func pageCursor(r distributor.Read) storer.Metadata {
	last := storer.Metadata{Workspace: r.Key.Workspace, Name: r.Key.Name}
	switch {
	case r.Key.Kind == storer.KindWorkspace:
		last.Workspace = r.Key.Name
	case r.Key.Kind == storer.KindMember:
		last.Workspace = ""
	case last.Workspace == "":
		last.Workspace = r.LastWorkspace
	}
	return last
}

func (c *Control) readSince(ctx context.Context, r distributor.Read, limit int) distributor.ReadAnswer {
	if r.WaitMillis > 0 {
		waiting, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMillis)*time.Millisecond)
		defer cancel()
		// A timeout is not an error: the answer then has no changes.
		_ = c.store.Wait(waiting, r.After)
	}
	changes, upTo, ok := c.store.Since(r.After, limit)
	if !ok {
		return distributor.ReadAnswer{Compacted: true, Revision: c.store.Revision()}
	}
	return distributor.ReadAnswer{Changes: changes, Revision: upTo}
}

// barrier waits until this host has applied everything accepted before the call.
func (c *Control) barrier(ctx context.Context) error {
	var passed distributor.BarrierPassed
	err := c.onLeader(ctx, false, func(ctx context.Context) error {
		return c.agreement.ReadBarrier(ctx)
	}, func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodBarrier, distributor.Barrier{TimeoutMillis: remainingMillis(ctx)}, &passed)
	})
	if err != nil {
		// A read has no effect, so its error is never an unknown outcome.
		return messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	}
	if passed.Revision == 0 {
		return nil
	}
	if c.agreement.Status().Suspended && c.store.Revision() < passed.Revision {
		return c.suspendedRefusal()
	}
	if err := c.store.Wait(ctx, passed.Revision-1); err != nil {
		return messenger.NewRefusal(messenger.ReasonUnavailable, "this host is behind")
	}
	return nil
}

// serveBarrier serves MethodBarrier.
func (c *Control) serveBarrier(ctx context.Context, b distributor.Barrier) (distributor.BarrierPassed, error) {
	ctx, cancel := bounded(ctx, b.TimeoutMillis)
	defer cancel()
	if err := c.agreement.ReadBarrier(ctx); err != nil {
		var notLeader replicator.ErrNotLeader
		if errors.As(err, &notLeader) {
			return distributor.BarrierPassed{}, c.notLeader()
		}
		return distributor.BarrierPassed{}, messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	}
	return distributor.BarrierPassed{Revision: c.store.Revision()}, nil
}

// remainingMillis returns the time in milliseconds that a forwarded call may take: nine
// tenths of the time until ctx ends, or 0 if it has no deadline. With the whole time, a
// refusal sent at the end would arrive too late, and a change that certainly has no
// effect would be reported as an unknown outcome.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max((time.Until(deadline) * 9 / 10).Milliseconds(), 1)
}

// inForce polls all hosts of the group for the nodes that hold a revision.
func (c *Control) inForce(ctx context.Context, r distributor.TallyRequest) distributor.InForce {
	ctx, cancel := context.WithTimeout(ctx, tallyTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := []distributor.TallyAnswer{c.localTally(r)}
	var unreachable []string
	var asked sync.WaitGroup
	for _, address := range c.otherHosts() {
		asked.Go(func() {
			var a distributor.TallyAnswer
			conn, err := c.pool.Conn(ctx, address)
			if err == nil {
				err = conn.Call(ctx, messenger.MethodTally, r, &a)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, address)
				return
			}
			answers = append(answers, a)
		})
	}
	asked.Wait()
	slices.Sort(unreachable)
	return distributor.Merge(r.Revision, answers, unreachable)
}

// localTally serves MethodTally.
func (c *Control) localTally(r distributor.TallyRequest) distributor.TallyAnswer {
	c.updateTally()
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return c.tally.Answer(c.settings.Now(), c.settings.Node, r.Revision)
}
