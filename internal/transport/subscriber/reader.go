package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Get reads one resource as it is after all changes accepted before the call,
// and the revision at which it was read.
func (c *Client) Get(ctx context.Context, key storer.Key) (r storer.Resource, found bool, revision uint64, err error) {
	a, err := c.Read(ctx, distributor.Read{Kind: distributor.ReadGet, Key: key})
	if err != nil || len(a.Resources) == 0 {
		return storer.Resource{}, false, a.Revision, err
	}
	return a.Resources[0], true, a.Revision, nil
}

// List reads the resources of a kind in a workspace, sorted by name, and a
// revision from which a watcher may go on. An empty workspace lists all.
func (c *Client) List(ctx context.Context, kind storer.Kind, workspace string) ([]storer.Resource, uint64, error) {
	var all []storer.Resource
	var revision uint64
	request := distributor.Read{Kind: distributor.ReadList, Key: storer.Key{Kind: kind, Workspace: workspace}}
	for {
		a, err := c.Read(ctx, request)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			// Later pages may be newer: a watcher begins at the first.
			revision = a.Revision
		}
		all = append(all, a.Resources...)
		if !a.More || len(a.Resources) == 0 {
			return all, revision, nil
		}
		last := a.Resources[len(a.Resources)-1].Metadata
		request.Key.Name, request.LastWorkspace = last.Name, last.Workspace
		// Control hosts of an earlier build page by position.
		request.After = uint64(len(all))
	}
}

// Since reads changes after a revision in their order, at most limit (0 means
// the greatest number allowed), and the revision up to which they are complete.
// It waits up to wait for a change. ErrCompacted tells to list again.
func (c *Client) Since(ctx context.Context, after uint64, limit int, wait time.Duration) ([]storer.Change, uint64, error) {
	a, err := c.Read(ctx, distributor.Read{
		Kind: distributor.ReadSince, After: after, Limit: limit, WaitMillis: wait.Milliseconds(),
	})
	switch {
	case err != nil:
		return nil, 0, err
	case a.Compacted:
		return nil, a.Revision, errors.Trace(ErrCompacted)
	default:
		return a.Changes, a.Revision, nil
	}
}

// Read asks a control host, and again where that fails: a read has no effect.
// A ReadList is one page. Its error is ErrUnavailable.
func (c *Client) Read(ctx context.Context, r distributor.Read) (a distributor.ReadAnswer, err error) {
	err = c.query(ctx, messenger.MethodRead, func(ctx context.Context) any {
		r.TimeoutMillis = remaining(ctx)
		return r
	}, &a)
	return a, err
}

// InForce tells how far a revision has come.
func (c *Client) InForce(ctx context.Context, revision uint64) (f distributor.InForce, err error) {
	request := distributor.TallyRequest{Revision: revision}
	err = c.query(ctx, messenger.MethodInForce, func(context.Context) any { return request }, &f)
	return f, err
}

// Group describes the control group as the control host in use sees it.
func (c *Client) Group(ctx context.Context) (g distributor.Group, err error) {
	request := distributor.GroupChange{Action: distributor.GroupShow}
	err = c.query(ctx, messenger.MethodGroup, func(context.Context) any { return request }, &g)
	return g, err
}

// ChangeGroup changes the control group. Its errors are those of Propose.
func (c *Client) ChangeGroup(ctx context.Context, g distributor.GroupChange) (answer distributor.Group, err error) {
	err = c.change(ctx, false, func(ctx context.Context, conn *messenger.Conn) error {
		g.TimeoutMillis = remaining(ctx)
		return conn.Call(ctx, messenger.MethodGroup, g, &answer)
	})
	return answer, err
}

// query calls without effect, until it succeeds or the context ends.
func (c *Client) query(ctx context.Context, method messenger.Method, params func(context.Context) any, answer any) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	for {
		conn, done, err := c.current(ctx)
		if err != nil {
			return errors.Annotatef(ErrUnavailable, "%v", err)
		}
		err = conn.Call(ctx, method, params(ctx), answer)
		done()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || effectOf(err) == effectRefused || !c.pauseIn(ctx, c.settings.RetryInterval) {
			return errors.Annotatef(ErrUnavailable, "%v", err)
		}
	}
}
