package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
)

const (
	// operatorCount is the number of operators that change the same resource
	// concurrently.
	operatorCount = 2
	// operatorInterval is the time between two changes of one operator.
	operatorInterval = 50 * time.Millisecond
	// changeTimeout bounds one change with all its attempts, attemptTimeout one
	// attempt.
	changeTimeout  = 30 * time.Second
	attemptTimeout = 3 * time.Second
	resendDelay    = 100 * time.Millisecond
	// ruleName is the name of the priority rule whose deadline holds the operators'
	// count, markerName that of the adapter that gets a version at each increment.
	ruleName   = "fault-count"
	markerName = "fault-marker"
	// ruleKey is a key that no caller uses, so that the rule affects no call.
	ruleKey        = "fault-nobody"
	workspacesPath = operator.Prefix + "workspaces/"
	headerIfMatch  = "If-Match"
	headerIfNone   = "If-None-Match"
	headerETag     = "ETag"
	anyRevision    = "*"
)

// operatorClient is one operator, which increments the count in a priority rule
// concurrently with the others and declares a version at each increment. It sends
// a change whose answer was lost again with the same idempotency key through
// another entry, until the answer is definite.
type operatorClient struct {
	name      string
	addresses []string
	client    *http.Client
	workspace string
	baseModel string
	// lastAddress is the index of the address used last; the next attempt uses the
	// following one.
	lastAddress int
	changes     *changes
	// keyCount numbers the idempotency keys.
	keyCount int
}

// reply is the answer of the operator API to one change.
type reply struct {
	status   int
	document operator.Document
	problem  operator.Problem
}

// runChanges makes changes until stop ends, and completes the change in progress.
func (o *operatorClient) runChanges(ctx, stop context.Context) {
	for stop.Err() == nil {
		if err := o.increment(ctx); err != nil {
			o.changes.addError(errors.Annotate(err, o.name))
		}
		sleep(stop, operatorInterval)
	}
}

// increment adds one to the count in the rule, unless another operator's change
// comes first, and declares a marker version.
func (o *operatorClient) increment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	value, tag, err := o.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	value++
	rule := storer.Resource{
		Kind:     storer.KindPriorityRule,
		Metadata: storer.Metadata{Workspace: o.workspace, Name: ruleName},
		Spec:     storer.PriorityRuleSpec{Key: ruleKey, DeadlineMillis: value},
	}
	r, err := o.put(ctx, &rule, headerIfMatch, tag)
	switch {
	case err != nil:
		o.changes.addUnresolved()
		return errors.Trace(err)
	case r.status == http.StatusPreconditionFailed:
		o.changes.addConflict()
		return nil
	case r.status != http.StatusOK:
		o.changes.addUnresolved()
		return errors.Errorf("count to %d: status %d, %s", value, r.status, r.problem.Detail)
	}
	o.changes.addAccepted(change{revision: r.document.Metadata.Revision, at: time.Now()}, true)
	return o.declareMarker(ctx, value)
}

// declareMarker declares a version, which every entry must list once it has
// applied the change.
func (o *operatorClient) declareMarker(ctx context.Context, value int64) error {
	name := fmt.Sprintf("v%06d", value)
	version := storer.Resource{
		Kind:     storer.KindVersion,
		Metadata: storer.Metadata{Workspace: o.workspace, Name: storer.VersionName(markerName, name)},
		Spec:     storer.VersionSpec{Source: o.workspace + "/" + markerName + "/" + name},
	}
	r, err := o.put(ctx, &version, headerIfNone, anyRevision)
	if err != nil {
		return errors.Trace(err)
	}
	if r.status != http.StatusCreated {
		return errors.Errorf("declare %s: status %d, %s", name, r.status, r.problem.Detail)
	}
	o.changes.addAccepted(change{
		revision: r.document.Metadata.Revision, at: time.Now(),
		marker: translator.Name{Workspace: o.workspace, Adapter: markerName, Version: name}.String(),
	}, false)
	return nil
}

// read returns the count and the entity tag for changing it.
func (o *operatorClient) read(ctx context.Context) (value int64, tag string, err error) {
	rule := storer.Resource{Kind: storer.KindPriorityRule, Metadata: storer.Metadata{Workspace: o.workspace, Name: ruleName}}
	r, header, err := o.sendUntilDefinite(ctx, func(ctx context.Context, address string) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathOf(&rule), http.NoBody)
	})
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	spec, ok := r.document.Spec.(storer.PriorityRuleSpec)
	if r.status != http.StatusOK || !ok {
		return 0, "", errors.Errorf("read the count: status %d, %s", r.status, r.problem.Detail)
	}
	return spec.DeadlineMillis, header.Get(headerETag), nil
}

// put sends one change with one idempotency key until the answer is definite.
// condition is the name of a precondition header, or empty, and value its value.
func (o *operatorClient) put(ctx context.Context, resource *storer.Resource, condition, value string) (reply, error) {
	body, err := json.Marshal(resource)
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	o.keyCount++
	key := o.name + "-" + strconv.Itoa(o.keyCount)
	r, _, err := o.sendUntilDefinite(ctx, func(ctx context.Context, address string) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+pathOf(resource), bytes.NewReader(body))
		if err != nil {
			return nil, errors.Trace(err)
		}
		r.Header.Set(translator.HeaderContentType, "application/json")
		r.Header.Set(translator.HeaderIdempotencyKey, key)
		if condition != "" {
			r.Header.Set(condition, value)
		}
		return r, nil
	})
	return r, errors.Trace(err)
}

// sendUntilDefinite sends a request through one entry after the other until the
// answer is not a server error or ctx ends.
func (o *operatorClient) sendUntilDefinite(ctx context.Context, request func(context.Context, string) (*http.Request, error)) (reply, http.Header, error) {
	for {
		r, header, err := o.attempt(ctx, request)
		if err == nil && r.status < http.StatusInternalServerError {
			return r, header, nil
		}
		o.changes.addResend()
		if err == nil {
			err = errors.Errorf("status %d, %s", r.status, r.problem.Detail)
		}
		if !sleep(ctx, resendDelay) {
			return reply{}, nil, errors.Annotate(err, "no definite answer")
		}
	}
}

// attempt sends a request once.
func (o *operatorClient) attempt(ctx context.Context, request func(context.Context, string) (*http.Request, error)) (reply, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	o.lastAddress = (o.lastAddress + 1) % len(o.addresses)
	q, err := request(ctx, o.addresses[o.lastAddress])
	if err != nil {
		return reply{}, nil, errors.Trace(err)
	}
	q.GetBody = nil // Otherwise net/http may repeat the request itself.
	answer, err := o.client.Do(q)
	if err != nil {
		return reply{}, nil, errors.Trace(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{}, nil, errors.Trace(err)
	}
	r := reply{status: answer.StatusCode}
	into := any(&r.document)
	if r.status >= http.StatusBadRequest {
		into = &r.problem
	}
	return r, answer.Header, errors.Trace(json.Unmarshal(data, into))
}

// pathOf returns the path of a resource in the operator API.
func pathOf(r *storer.Resource) string {
	return workspacesPath + r.Metadata.Workspace + "/" + r.Kind.PathSegment() + "/" + r.Metadata.Name
}

// declare declares the priority rule and the marker adapter that operators change.
func (o *operatorClient) declare(ctx context.Context) error {
	for _, r := range []storer.Resource{
		{Kind: storer.KindPriorityRule, Spec: storer.PriorityRuleSpec{Key: ruleKey, DeadlineMillis: 1}},
		{Kind: storer.KindAdapter, Spec: storer.AdapterSpec{BaseModel: o.baseModel}},
	} {
		r.Metadata = storer.Metadata{Workspace: o.workspace, Name: ruleName}
		if r.Kind == storer.KindAdapter {
			r.Metadata.Name = markerName
		}
		got, err := o.put(ctx, &r, "", "")
		if err != nil {
			return errors.Trace(err)
		}
		if got.status != http.StatusOK {
			return errors.Errorf("declare %s: status %d, %s", r.Metadata.Name, got.status, got.problem.Detail)
		}
	}
	return nil
}

// isMarker reports whether a model's id is that of a version declared by mark.
func isMarker(id string) bool { return strings.Contains(id, "/"+markerName+"@") }
