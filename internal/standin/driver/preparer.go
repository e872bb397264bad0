package driver

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// WorkspaceKey is a caller's bearer key of one workspace.
type WorkspaceKey struct {
	Workspace string
	Key       string
}

// keyName is the name of the KeySpec that Prepare declares in each workspace.
const keyName = "load"

// NewKeys returns a random bearer key for each workspace.
func NewKeys(w *Workload) []WorkspaceKey {
	keys := make([]WorkspaceKey, 0, len(w.Workspaces))
	for _, l := range w.Workspaces {
		keys = append(keys, WorkspaceKey{Workspace: l.Name, Key: "mp-" + rand.Text()})
	}
	return keys
}

// Resources returns the resources that the workload needs, in stages: the resources of a
// stage depend only on earlier stages, not on each other.
func Resources(w *Workload, keys []WorkspaceKey) [][]storer.Resource {
	stages := make([][]storer.Resource, 4)
	add := func(stage int, kind storer.Kind, workspace, name string, spec storer.Spec) {
		stages[stage] = append(stages[stage], storer.Resource{
			Kind: kind, Metadata: storer.Metadata{Workspace: workspace, Name: name}, Spec: spec,
		})
	}
	for i := range w.Workspaces {
		l := &w.Workspaces[i]
		add(0, storer.KindWorkspace, l.Name, l.Name, storer.WorkspaceSpec{Share: max(1, l.Share)})
		add(1, storer.KindPriorityRule, l.Name, "all", storer.PriorityRuleSpec{Priority: l.Priority})
		if w.Service.Name != "" {
			add(1, storer.KindService, l.Name, w.Service.Name, storer.ServiceSpec{IdempotentMethods: []string{http.MethodGet}})
		}
		for adapter := range l.Adapters {
			name := l.adapterName(adapter)
			add(1, storer.KindAdapter, l.Name, name, storer.AdapterSpec{BaseModel: w.BaseModel})
			for _, version := range []string{firstVersion, secondVersion}[:w.versions(adapter)] {
				add(2, storer.KindVersion, l.Name, storer.VersionName(name, version), storer.VersionSpec{
					Source: l.Name + "/" + name + "/" + version,
				})
			}
			add(3, storer.KindAdapter, l.Name, name, storer.AdapterSpec{BaseModel: w.BaseModel, Current: w.currentVersion(adapter)})
		}
	}
	for _, k := range keys {
		hash := sha256.Sum256([]byte(k.Key))
		add(1, storer.KindKey, k.Workspace, keyName, storer.KeySpec{Hash: hex.EncodeToString(hash[:])})
	}
	return stages
}

// PrepareSettings are the settings of Prepare.
type PrepareSettings struct {
	// Operators are the operator listeners, IP:port; at least one.
	Operators []string
	// Key is the bearer key of the operator API; empty for none.
	Key string
	// Parallelism is the number of changes in flight; 64 by default.
	Parallelism int
	// Timeout limits the time of Prepare; 2 min by default.
	Timeout time.Duration
	// Client sends the changes; a new client by default.
	Client *http.Client
}

func (s PrepareSettings) withDefaults() PrepareSettings {
	if s.Parallelism == 0 {
		s.Parallelism = 64
	}
	if s.Timeout == 0 {
		s.Timeout = 2 * time.Minute
	}
	if s.Client == nil {
		s.Client = newClient(s.Parallelism)
	}
	return s
}

const (
	operatorPath = "/api/v1/workspaces/"
	// changeAttempts limits the attempts to send one change, which are changePause apart.
	changeAttempts = 10
	changePause    = 200 * time.Millisecond
)

// Prepare declares the workload through the operator API and returns the number of accepted
// changes. A repetition changes only the keys. It panics if s has no operator listener.
func Prepare(ctx context.Context, w *Workload, keys []WorkspaceKey, s PrepareSettings) (int, error) {
	if len(s.Operators) == 0 {
		panic("driver: Prepare needs an operator listener")
	}
	s = s.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	accepted := 0
	batch := rand.Text()
	for stage, resources := range Resources(w, keys) {
		g, inner := errgroup.WithContext(ctx)
		g.SetLimit(s.Parallelism)
		for i := range resources {
			key := fmt.Sprintf("prepare-%s-%d-%d", batch, stage, i)
			operator := s.Operators[i%len(s.Operators)]
			g.Go(func() error { return s.put(inner, operator, key, &resources[i]) })
		}
		if err := g.Wait(); err != nil {
			return accepted, errors.Trace(err)
		}
		accepted += len(resources)
	}
	return accepted, nil
}

// put sends one change until it is accepted, is refused with a permanent error, or has been
// sent changeAttempts times. All attempts have one Idempotency-Key, so that a lost answer
// does no harm.
func (s *PrepareSettings) put(ctx context.Context, operator, key string, r *storer.Resource) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Annotate(err, "encode resource")
	}
	for attempt := 1; ; attempt++ {
		retry, err := s.putOnce(ctx, operator, key, r, body)
		if err == nil {
			return nil
		}
		if !retry || attempt == changeAttempts {
			return errors.Annotatef(err, "declare %v %s/%s", r.Kind, r.Metadata.Workspace, r.Metadata.Name)
		}
		timer := time.NewTimer(changePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Trace(err)
		}
	}
}

// putOnce sends one change. It reports whether a failure can be retried.
func (s *PrepareSettings) putOnce(ctx context.Context, operator, key string, r *storer.Resource, body []byte) (bool, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+operator+resourcePath(r), bytes.NewReader(body))
	if err != nil {
		return false, errors.Trace(err)
	}
	q.Header.Set(translator.HeaderContentType, "application/json")
	q.Header.Set(translator.HeaderIdempotencyKey, key)
	if s.Key != "" {
		q.Header.Set(translator.HeaderAuthorization, "Bearer "+s.Key)
	}
	answer, err := s.Client.Do(q)
	if err != nil {
		return true, errors.Trace(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 4096))
	switch {
	case answer.StatusCode < http.StatusMultipleChoices:
		return false, nil
	case err != nil:
		return true, errors.Trace(err)
	default:
		retry := answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusTooManyRequests
		return retry, errors.Errorf("status %d: %s", answer.StatusCode, bytes.TrimSpace(text))
	}
}

// resourcePath returns the path of a resource in the operator API.
func resourcePath(r *storer.Resource) string {
	if r.Kind == storer.KindWorkspace {
		return operatorPath + r.Metadata.Name
	}
	return operatorPath + r.Metadata.Workspace + "/" + r.Kind.PathSegment() + "/" + r.Metadata.Name
}
