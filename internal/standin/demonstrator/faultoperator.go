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
	// operators is the number of operators that race each other.
	operators = 2
	// operatorPause is the time between two changes of one operator.
	operatorPause = 50 * time.Millisecond
	// changeLimit bounds one change with all its repetitions, attemptLimit one
	// attempt.
	changeLimit  = 30 * time.Second
	attemptLimit = 3 * time.Second
	resendPause  = 100 * time.Millisecond
	// ruleName names the priority rule in whose deadline operators count, and
	// markerName the adapter that gets a version at each count.
	ruleName   = "fault-count"
	markerName = "fault-marker"
	// ruleKey is a key that no caller has: the rule concerns nobody.
	ruleKey        = "fault-nobody"
	workspacesPath = operator.Prefix + "workspaces/"
	headerIfMatch  = "If-Match"
	headerIfNone   = "If-None-Match"
	headerETag     = "ETag"
	anyRevision    = "*"
)

// racer is one operator, who counts up a priority rule in races with the others
// and declares a version at each count. A change whose answer was lost is sent
// again under its key, through another entry, until the answer is definite.
type racer struct {
	name      string
	addresses []string
	client    *http.Client
	workspace string
	baseModel string
	// next is the entry asked next.
	next    int
	changes *changes
	// number makes idempotency keys.
	number int
}

// reply is the answer of the operator API to one change.
type reply struct {
	status   int
	document operator.Document
	problem  operator.Problem
}

// race changes until stop ends, finishing the change in progress.
func (o *racer) race(ctx, stop context.Context) {
	for stop.Err() == nil {
		if err := o.count(ctx); err != nil {
			o.changes.fail(errors.Annotate(err, o.name))
		}
		wait(stop, operatorPause)
	}
}

// count adds one to the rule, unless another operator comes first.
func (o *racer) count(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
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
		o.changes.unresolvedOne()
		return errors.Trace(err)
	case r.status == http.StatusPreconditionFailed:
		o.changes.conflict()
		return nil
	case r.status != http.StatusOK:
		o.changes.unresolvedOne()
		return errors.Errorf("count to %d: status %d, %s", value, r.status, r.problem.Detail)
	}
	o.changes.accept(change{revision: r.document.Metadata.Revision, at: time.Now()}, true)
	return o.mark(ctx, value)
}

// mark declares a version, which every entry must list from then on.
func (o *racer) mark(ctx context.Context, value int64) error {
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
	o.changes.accept(change{
		revision: r.document.Metadata.Revision, at: time.Now(),
		marker: translator.Name{Workspace: o.workspace, Adapter: markerName, Version: name}.String(),
	}, false)
	return nil
}

// read returns the count and the entity tag to change it by.
func (o *racer) read(ctx context.Context) (value int64, tag string, err error) {
	rule := storer.Resource{Kind: storer.KindPriorityRule, Metadata: storer.Metadata{Workspace: o.workspace, Name: ruleName}}
	r, header, err := o.untilAnswered(ctx, func(ctx context.Context, address string) (*http.Request, error) {
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

// put sends one change under one key until the answer is definite.
func (o *racer) put(ctx context.Context, resource *storer.Resource, condition, value string) (reply, error) {
	body, err := json.Marshal(resource)
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	o.number++
	key := o.name + "-" + strconv.Itoa(o.number)
	r, _, err := o.untilAnswered(ctx, func(ctx context.Context, address string) (*http.Request, error) {
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

// untilAnswered sends a request until its answer is definite, through one entry
// after the other.
func (o *racer) untilAnswered(ctx context.Context, request func(context.Context, string) (*http.Request, error)) (reply, http.Header, error) {
	for {
		r, header, err := o.once(ctx, request)
		if err == nil && r.status < http.StatusInternalServerError {
			return r, header, nil
		}
		o.changes.resend()
		if err == nil {
			err = errors.Errorf("status %d, %s", r.status, r.problem.Detail)
		}
		if !wait(ctx, resendPause) {
			return reply{}, nil, errors.Annotate(err, "no definite answer")
		}
	}
}

func (o *racer) once(ctx context.Context, request func(context.Context, string) (*http.Request, error)) (reply, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	o.next = (o.next + 1) % len(o.addresses)
	q, err := request(ctx, o.addresses[o.next])
	if err != nil {
		return reply{}, nil, errors.Trace(err)
	}
	q.GetBody = nil // Or net/http sends a change again by itself.
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

// declare makes the rule and the marker that operators change.
func (o *racer) declare(ctx context.Context) error {
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
