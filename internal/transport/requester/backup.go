package requester

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
)

const (
	// exportPageSize is the number of resources requested per page.
	exportPageSize = "1000"
	// importConcurrency is the number of changes sent concurrently. Changes that wait
	// at the same time are committed together.
	importConcurrency = 16
	// maxLineBytes limits a line of a back-up; the API accepts no larger body.
	maxLineBytes = 64 << 10
)

// exportedKinds are the kinds that operators declare in a workspace, ordered so that
// each can be declared after those before it. The current version of an adapter is the
// exception: it must exist before it becomes current.
var exportedKinds = []storer.Kind{
	storer.KindAdapter, storer.KindVersion, storer.KindPriorityRule, storer.KindService, storer.KindKey,
}

// Export writes all resources that operators have declared to w, one JSON document per
// line, and returns their number. Of callers' keys it writes the hashes.
//
// It reads one list after another, so that changes made meanwhile may be included in
// part. An adapter is read before its versions, so that its current version is included
// unless it was deleted meanwhile.
func (c *Client) Export(ctx context.Context, w io.Writer) (count int, err error) {
	e := exporter{client: c, out: json.NewEncoder(w)}
	workspaces, err := e.list(ctx, workspacesPath)
	if err != nil {
		return e.count, err
	}
	for _, space := range workspaces {
		for _, kind := range exportedKinds {
			if _, err := e.list(ctx, resourcePath(space+"/"+kind.PathSegment())); err != nil {
				return e.count, err
			}
		}
	}
	return e.count, nil
}

type exporter struct {
	client *Client
	out    *json.Encoder
	count  int
}

// list writes the resources at path and returns their names.
func (e *exporter) list(ctx context.Context, path string) (names []string, err error) {
	query := url.Values{"Limit": {exportPageSize}}
	for {
		data, err := e.client.request(ctx, http.MethodGet, path+"?"+query.Encode(), nil, nil)
		if err != nil {
			return nil, errors.Annotatef(err, "list %s", path)
		}
		var page operator.List
		if err := json.Unmarshal(data, &page); err != nil {
			return nil, errors.Annotatef(err, "list %s", path)
		}
		for _, d := range page.Items {
			// An imported revision would be a condition that no new group meets.
			d.Metadata.Revision = 0
			if err := e.out.Encode(storer.Resource{Kind: d.Kind, Metadata: d.Metadata, Spec: d.Spec}); err != nil {
				return nil, errors.Annotate(err, "write")
			}
			e.count++
			names = append(names, d.Metadata.Name)
		}
		if page.Continue == "" {
			return names, nil
		}
		query.Set("Continue", page.Continue)
	}
}

// ImportResult is the result of an import.
type ImportResult struct {
	// Declared is the number of resources that are in force as in the back-up.
	Declared int
	// Refused holds the paths of the other resources, each with the reason.
	Refused []string
}

// Import declares the resources that Export wrote. Resources that are not in the
// back-up are left unchanged. The idempotency keys of the changes begin with identity:
// an import that failed, and is repeated with the same identity, applies no change
// twice. An empty identity selects a new one.
//
// An error means that the import is incomplete; refusals of single resources are listed
// in the result.
func (c *Client) Import(ctx context.Context, r io.Reader, identity string) (ImportResult, error) {
	if identity == "" {
		identity = rand.Text()
	}
	resources, err := readBackup(r)
	if err != nil {
		return ImportResult{}, err
	}
	i := importer{client: c, identity: identity}
	for _, step := range importSteps(resources) {
		if err := i.declare(ctx, step); err != nil {
			return i.imported, errors.Annotatef(err, "the import broke off; begin it again with identity %s", identity)
		}
	}
	return i.imported, nil
}

func readBackup(r io.Reader) ([]storer.Resource, error) {
	var resources []storer.Resource
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var one storer.Resource
		if err := json.Unmarshal(lines.Bytes(), &one); err != nil {
			return nil, errors.Annotatef(err, "line %d", number)
		}
		if one.Kind == storer.KindMember {
			return nil, errors.Errorf("line %d: members announce themselves", number)
		}
		one.Metadata.Revision = 0
		resources = append(resources, one)
	}
	return resources, errors.Annotate(lines.Err(), "read the back-up")
}

// declaration is one change of an import.
type declaration struct {
	resource storer.Resource
	// create means that an existing resource is left unchanged.
	create bool
}

// importSteps orders the resources so that they can be declared; those of one step can
// be declared concurrently. An adapter with a current version is declared twice: before
// the versions without the current version, and only if the adapter does not exist, and
// after the versions as it is. An adapter in use therefore never loses its current
// version.
func importSteps(resources []storer.Resource) [][]declaration {
	steps := make([][]declaration, storer.KindMember+1)
	const last = storer.KindNone
	for _, r := range resources {
		adapter, ok := r.Spec.(storer.AdapterSpec)
		if ok && adapter.Current != "" {
			steps[last] = append(steps[last], declaration{resource: r})
			adapter.Current = ""
			r.Spec = adapter
			steps[r.Kind] = append(steps[r.Kind], declaration{resource: r, create: true})
			continue
		}
		steps[r.Kind] = append(steps[r.Kind], declaration{resource: r})
	}
	ordered := [][]declaration{steps[storer.KindWorkspace]}
	for _, kind := range exportedKinds {
		ordered = append(ordered, steps[kind])
	}
	return append(ordered, steps[last])
}

type importer struct {
	client   *Client
	identity string

	mu sync.Mutex
	// imported is guarded by mu.
	imported ImportResult
}

// declare declares the resources of one step.
func (i *importer) declare(ctx context.Context, step []declaration) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(importConcurrency)
	for _, d := range step {
		group.Go(func() error { return i.put(ctx, d) })
	}
	return errors.Trace(group.Wait())
}

func (i *importer) put(ctx context.Context, d declaration) error {
	document, err := json.Marshal(d.resource)
	if err != nil {
		return errors.Trace(err)
	}
	m := d.resource.Metadata
	path := url.PathEscape(m.Workspace)
	if d.resource.Kind != storer.KindWorkspace {
		path += "/" + d.resource.Kind.PathSegment() + "/" + url.PathEscape(m.Name)
	}
	_, err = i.client.Put(ctx, path, document, Conditions{
		Create: d.create, IdempotencyKey: fmt.Sprintf("%s/%t/%v/%s", i.identity, d.create, d.resource.Kind, m.Name),
	})
	return i.recordResult(path, d, err)
}

// recordResult records the result of a change, and returns an error if the import must
// end.
func (i *importer) recordResult(path string, d declaration, err error) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	var refused *RefusedError
	switch {
	case err == nil && !d.create:
		i.imported.Declared++
		return nil
	case err == nil:
		return nil
	case !errors.As(err, &refused) || refused.Status >= http.StatusInternalServerError ||
		refused.Problem.Reason == operator.ReasonUnauthorized:
		return errors.Annotate(err, path)
	case d.create && refused.Problem.Reason == operator.ReasonConflict:
		return nil
	default:
		i.imported.Refused = append(i.imported.Refused, path+": "+refused.Error())
		return nil
	}
}
