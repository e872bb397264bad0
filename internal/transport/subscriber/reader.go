package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Get reads a resource, including all changes accepted before the call, and the revision at
// which it was read.
func (c *Client) Get(ctx context.Context, key storer.Key) (r storer.Resource, found bool, revision uint64, err error) {
	a, err := c.Read(ctx, distributor.Read{Kind: distributor.ReadGet, Key: key})
	if err != nil || len(a.Resources) == 0 {
		return storer.Resource{}, false, a.Revision, err
	}
	return a.Resources[0], true, a.Revision, nil
}

// List reads the resources of a kind in a workspace, sorted by name, and the revision from
// which a watcher may continue. An empty workspace lists all.
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
			// Later pages may be newer, so a watcher starts at the first page's revision.
			revision = a.Revision
		}
		all = append(all, a.Resources...)
		if !a.More || len(a.Resources) == 0 {
			return all, revision, nil
		}
		last := a.Resources[len(a.Resources)-1].Metadata
		request.Key.Name, request.LastWorkspace = last.Name, last.Workspace
		// Control hosts of earlier versions page by position.
		request.After = uint64(len(all))
	}
}

// Since reads at most limit changes after a revision, in order, and the revision up to
// which they are complete. A limit of 0 means the greatest number allowed. If there is no
// change, it waits for one, for at most wait. After ErrCompacted the caller must list
// again.
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

// Read sends a read to a control host, and retries if that fails, as a read has no effect.
// A ReadList returns one page. Its error is ErrUnavailable.
func (c *Client) Read(ctx context.Context, r distributor.Read) (a distributor.ReadAnswer, err error) {
	err = c.query(ctx, messenger.MethodRead, func(ctx context.Context) any {
		r.TimeoutMillis = remainingMillis(ctx)
		return r
	}, &a)
	return a, err
}

// InForce returns how many nodes a revision has reached.
func (c *Client) InForce(ctx context.Context, revision uint64) (f distributor.InForce, err error) {
	request := distributor.TallyRequest{Revision: revision}
	err = c.query(ctx, messenger.MethodInForce, func(context.Context) any { return request }, &f)
	return f, err
}

// Group returns the control group as seen by the control host in use.
func (c *Client) Group(ctx context.Context) (g distributor.Group, err error) {
	request := distributor.GroupChange{Action: distributor.GroupShow}
	err = c.query(ctx, messenger.MethodGroup, func(context.Context) any { return request }, &g)
	return g, err
}

// ChangeGroup changes the control group. Its errors are those of Propose.
func (c *Client) ChangeGroup(ctx context.Context, g distributor.GroupChange) (answer distributor.Group, err error) {
	err = c.change(ctx, false, func(ctx context.Context, conn *messenger.Conn) error {
		g.TimeoutMillis = remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodGroup, g, &answer)
	})
	return answer, err
}

// query makes a call that has no effect, and retries until it succeeds, is refused, or the
// context ends.
func (c *Client) query(ctx context.Context, method messenger.Method, params func(context.Context) any, answer any) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	for {
		conn, done, err := c.acquireConn(ctx)
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
