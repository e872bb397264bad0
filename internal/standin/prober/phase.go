package prober

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

//go:generate stringer -type=Phase -trimprefix=Phase

// Phase is the activity of a client group during a measurement.
type Phase int

// The phases. The size of a probe is the number of entries for the first two, the number of
// companions for the next three, and the number of events per second for the others.
const (
	// PhaseIdle has connected entries without activity.
	PhaseIdle Phase = iota
	// PhaseChanges declares versions at a fixed rate, which all entries replicate.
	PhaseChanges
	// PhaseRenewals renews the leases of companions without a change of their state.
	PhaseRenewals
	// PhaseLoads renews the leases of companions, each time with another load of the
	// same load level.
	PhaseLoads
	// PhaseReports renews the leases of companions, each time with another load level,
	// one version loaded and one evicted.
	PhaseReports
	// PhaseClaims has entries claim and settle calls.
	PhaseClaims
	// PhasePermits has companions request load permits and return them.
	PhasePermits
)

// ParsePhase returns the phase with the name, ignoring case, or a NotValid error.
func ParsePhase(name string) (Phase, error) {
	for p := PhaseIdle; p <= PhasePermits; p++ {
		if strings.EqualFold(name, p.String()) {
			return p, nil
		}
	}
	return 0, errors.NotValidf("phase %q", name)
}

// change is an accepted change. Its revision is 0 for other events.
type change struct {
	revision uint64
	accepted time.Time
}

// work is the state of a phase in progress. Its methods are safe for concurrent use.
type work struct {
	group *ClientGroup
	// runID identifies the window and is part of all keys, so that no key is used twice.
	runID string

	mu sync.Mutex
	// changes are the accepted changes, times the durations of events; guarded by mu.
	changes []change
	times   []time.Duration
	events  int
	// firstErr is the first error; guarded by mu.
	firstErr error
}

func (w *work) record(d time.Duration, c change, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.firstErr == nil {
			w.firstErr = err
		}
		return
	}
	w.events++
	w.times = append(w.times, d)
	if c.revision != 0 {
		w.changes = append(w.changes, c)
	}
}

// callAtRate calls f at rate calls per second for d, each call in its own goroutine, and
// waits for the calls. It stops early if ctx ends.
func callAtRate(ctx context.Context, rate float64, d time.Duration, f func(i int)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if due >= d {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(due))):
		}
		calls.Go(func() { f(i) })
	}
}

// declare lets entry i, modulo the number of entries, declare a version.
func (w *work) declare(ctx context.Context, i int) {
	l := w.group.Entries[i%len(w.group.Entries)]
	sent := time.Now()
	r, err := l.Propose(ctx, storer.Envelope{
		IdempotencyKey: fmt.Sprintf("%s-%d", w.runID, i),
		Command: storer.PutResource{Resource: storer.Resource{
			Kind:     storer.KindVersion,
			Metadata: storer.Metadata{Workspace: workspaceName, Name: storer.VersionName(adapterName, fmt.Sprintf("%s-%d", w.runID, i))},
			Spec:     storer.VersionSpec{Source: "weights/" + workspaceName + "/" + adapterName + "/v", SizeBytes: 1 << 24},
		}},
	})
	if err == nil && r.Verdict != storer.VerdictAccepted {
		err = errors.Errorf("change not accepted: %v %s", r.Verdict, r.Reason)
	}
	accepted := time.Now()
	w.record(accepted.Sub(sent), change{revision: r.Revision, accepted: accepted}, err)
}

// Names of the resources that a probe declares.
const (
	workspaceName = "probe"
	adapterName   = "contracts-review"
)

// Prepare declares the workspace and the adapter that the phases use.
func Prepare(ctx context.Context, l *LightClient) error {
	for _, r := range []storer.Resource{
		{Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: workspaceName, Name: workspaceName}, Spec: storer.WorkspaceSpec{Share: 1}},
		{Kind: storer.KindAdapter, Metadata: storer.Metadata{Workspace: workspaceName, Name: adapterName}, Spec: storer.AdapterSpec{BaseModel: "base"}},
	} {
		result, err := l.Propose(ctx, storer.Envelope{IdempotencyKey: "probe-" + r.Kind.String(), Command: storer.PutResource{Resource: r}})
		if err != nil {
			return errors.Annotate(err, "declare the resources of the probe")
		}
		if result.Verdict != storer.VerdictAccepted {
			return errors.Errorf("resources of the probe not accepted: %v %s", result.Verdict, result.Reason)
		}
	}
	return nil
}

// renew renews the lease of companion i, modulo the number of companions, with the state
// that the phase defines.
func (w *work) renew(i int, p Phase) {
	l := w.group.Companions[i%len(w.group.Companions)]
	turn := i / len(w.group.Companions)
	r := registrar.Renewal{Name: l.Name, Epoch: l.Lease.Epoch, Load: registrar.Load{MaxBatch: batch}}
	switch p {
	case PhaseReports:
		r.Load.Running = turn % 2 * batch
	case PhaseLoads:
		r.Load.Running, turn = 1+turn%(batch/2-1), 0
	default:
		turn = 0
	}
	for v := range slots {
		r.Resident = append(r.Resident, fmt.Sprintf("%s/%s@v%05d", workspaceName, adapterName, turn+v))
	}
	l.Renew(r)
}

// claim lets entry i, modulo the number of entries, claim and settle a call. It records the
// time of the claim.
func (w *work) claim(ctx context.Context, i int) {
	l := w.group.Entries[i%len(w.group.Entries)]
	key := fmt.Sprintf("%s-%d", w.runID, i)
	digest := sha256.Sum256([]byte(key))
	began := time.Now()
	holder := l.Name + "/" + key
	r, err := l.Propose(ctx, storer.Envelope{Command: storer.ClaimCall{Workspace: workspaceName, Key: key, Digest: digest[:], Holder: holder}})
	if err == nil && r.Verdict != storer.VerdictAccepted {
		err = errors.Errorf("claim not accepted: %v %s", r.Verdict, r.Reason)
	}
	claimed := time.Since(began)
	if err == nil {
		_, err = l.Propose(ctx, storer.Envelope{Command: storer.SettleClaim{
			Workspace: workspaceName, Key: key, Holder: holder, State: storer.ClaimStateDone, Backend: "backend", Request: key,
		}})
	}
	w.record(claimed, change{}, err)
}

// permit lets companion i, modulo the number of companions, request a load permit and return
// it.
func (w *work) permit(ctx context.Context, i int) {
	l := w.group.Companions[i%len(w.group.Companions)]
	began := time.Now()
	g, err := l.RequestPermit(ctx, permitter.Request{
		Companion: l.Name, Workspace: workspaceName, Version: fmt.Sprintf("%s/%s@%s-%d", workspaceName, adapterName, w.runID, i), Waiters: 1, Share: 1,
	})
	if err == nil {
		l.FinishPermit(g)
	}
	w.record(time.Since(began), change{}, err)
}
