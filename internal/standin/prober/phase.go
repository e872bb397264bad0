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

// Phase is what a crowd does while it is measured.
type Phase int

// The phases. The size of a probe counts entries for the first two, companions
// for the next three, and events a second for the others.
const (
	// PhaseIdle has connected entries do nothing.
	PhaseIdle Phase = iota
	// PhaseChanges has versions declared at a rate, which all entries follow.
	PhaseChanges
	// PhaseRenewals has companions renew their leases, with nothing else to tell.
	PhaseRenewals
	// PhaseLoads has companions renew their leases, each time with another load of
	// the same level.
	PhaseLoads
	// PhaseReports has companions renew their leases, each time with a load of
	// another level, one version loaded and one evicted.
	PhaseReports
	// PhaseClaims has entries claim calls and settle them.
	PhaseClaims
	// PhasePermits has companions ask for load permits and give them back.
	PhasePermits
)

// ParsePhase returns the phase of a name, in any case.
func ParsePhase(name string) (Phase, error) {
	for p := PhaseIdle; p <= PhasePermits; p++ {
		if strings.EqualFold(name, p.String()) {
			return p, nil
		}
	}
	return 0, errors.NotValidf("phase %q", name)
}

// change is one accepted change.
type change struct {
	revision uint64
	accepted time.Time
}

// work is a phase under way.
type work struct {
	crowd *ClientGroup
	// run names this window, so that no key is used twice.
	run string

	mu sync.Mutex
	// changes and times are what came of the events; guarded by mu.
	changes []change
	times   []time.Duration
	events  int
	// failed is the first error; guarded by mu.
	failed error
}

func (w *work) done(d time.Duration, c change, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.failed == nil {
			w.failed = err
		}
		return
	}
	w.events++
	w.times = append(w.times, d)
	if c.revision != 0 {
		w.changes = append(w.changes, c)
	}
}

// steady calls f at a rate for a time, each in a goroutine of its own, and waits
// for them.
func steady(ctx context.Context, rate float64, d time.Duration, f func(i int)) {
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

// declare has entry i declare a version.
func (w *work) declare(ctx context.Context, i int) {
	l := w.crowd.Entries[i%len(w.crowd.Entries)]
	sent := time.Now()
	r, err := l.Propose(ctx, storer.Envelope{
		IdempotencyKey: fmt.Sprintf("%s-%d", w.run, i),
		Command: storer.PutResource{Resource: storer.Resource{
			Kind:     storer.KindVersion,
			Metadata: storer.Metadata{Workspace: workspaceName, Name: storer.VersionName(adapterName, fmt.Sprintf("%s-%d", w.run, i))},
			Spec:     storer.VersionSpec{Source: "weights/" + workspaceName + "/" + adapterName + "/v", SizeBytes: 1 << 24},
		}},
	})
	if err == nil && r.Verdict != storer.VerdictAccepted {
		err = errors.Errorf("a change was not accepted: %v %s", r.Verdict, r.Reason)
	}
	accepted := time.Now()
	w.done(accepted.Sub(sent), change{revision: r.Revision, accepted: accepted}, err)
}

// The names of what a probe declares.
const (
	workspaceName = "probe"
	adapterName   = "contracts-review"
)

// Prepare declares what the phases need.
func Prepare(ctx context.Context, l *LightClient) error {
	for _, r := range []storer.Resource{
		{Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: workspaceName, Name: workspaceName}, Spec: storer.WorkspaceSpec{Share: 1}},
		{Kind: storer.KindAdapter, Metadata: storer.Metadata{Workspace: workspaceName, Name: adapterName}, Spec: storer.AdapterSpec{BaseModel: "base"}},
	} {
		result, err := l.Propose(ctx, storer.Envelope{IdempotencyKey: "probe-" + r.Kind.String(), Command: storer.PutResource{Resource: r}})
		if err != nil {
			return errors.Annotate(err, "declare what the probe needs")
		}
		if result.Verdict != storer.VerdictAccepted {
			return errors.Errorf("what the probe needs was not accepted: %v %s", result.Verdict, result.Reason)
		}
	}
	return nil
}

// renew has every companion renew in turn, with what the phase has it tell.
func (w *work) renew(i int, p Phase) {
	l := w.crowd.Companions[i%len(w.crowd.Companions)]
	turn := i / len(w.crowd.Companions)
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

// claim has entry i claim a call and settle it.
func (w *work) claim(ctx context.Context, i int) {
	l := w.crowd.Entries[i%len(w.crowd.Entries)]
	key := fmt.Sprintf("%s-%d", w.run, i)
	digest := sha256.Sum256([]byte(key))
	began := time.Now()
	holder := l.Name + "/" + key
	r, err := l.Propose(ctx, storer.Envelope{Command: storer.ClaimCall{Workspace: workspaceName, Key: key, Digest: digest[:], Holder: holder}})
	if err == nil && r.Verdict != storer.VerdictAccepted {
		err = errors.Errorf("a claim was not accepted: %v %s", r.Verdict, r.Reason)
	}
	claimed := time.Since(began)
	if err == nil {
		_, err = l.Propose(ctx, storer.Envelope{Command: storer.SettleClaim{
			Workspace: workspaceName, Key: key, Holder: holder, State: storer.ClaimStateDone, Backend: "backend", Request: key,
		}})
	}
	w.done(claimed, change{}, err)
}

// permit has companion i ask for a load permit and give it back.
func (w *work) permit(ctx context.Context, i int) {
	l := w.crowd.Companions[i%len(w.crowd.Companions)]
	began := time.Now()
	g, err := l.RequestPermit(ctx, permitter.Request{
		Companion: l.Name, Workspace: workspaceName, Version: fmt.Sprintf("%s/%s@%s-%d", workspaceName, adapterName, w.run, i), Waiters: 1, Share: 1,
	})
	if err == nil {
		l.FinishPermit(g)
	}
	w.done(time.Since(began), change{}, err)
}
