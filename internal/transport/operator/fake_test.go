package operator

import (
	"bytes"
	"context"
	"sync"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	errRefused = errors.ConstError("no leader")
	errLost    = errors.ConstError("answer lost")
)

// fakeControl is a control group of one host: the real state machine without a log.
type fakeControl struct {
	mu    sync.Mutex
	store *storer.Store
	index uint64
	// refuse makes Propose fail before the change, loseAnswer after it.
	refuse, loseAnswer bool
	tally              distributor.InForce
}

func (f *fakeControl) Propose(_ context.Context, e storer.Envelope) (storer.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return storer.Result{}, errors.Trace(errRefused)
	}
	data, err := storer.Encode(e)
	if err != nil {
		return storer.Result{}, err
	}
	f.index++
	result := f.store.Apply(f.index, data).(storer.Result)
	if f.loseAnswer {
		return storer.Result{}, errors.Trace(errLost)
	}
	return result, nil
}

func (f *fakeControl) Read(ctx context.Context, r distributor.Read) (distributor.ReadAnswer, error) {
	f.mu.Lock()
	store := f.store
	f.mu.Unlock()
	a := distributor.ReadAnswer{Revision: store.Revision()}
	switch r.Kind {
	case distributor.ReadGet:
		if got, ok := store.Get(r.Key); ok {
			a.Resources = append(a.Resources, got)
		}
	case distributor.ReadList:
		a.Resources, a.Revision = store.List(r.Key.Kind, r.Key.Workspace)
		a.Resources = a.Resources[r.After:]
		if a.More = r.Limit > 0 && len(a.Resources) > r.Limit; a.More {
			a.Resources = a.Resources[:r.Limit]
		}
	case distributor.ReadSince:
		if r.WaitMillis > 0 {
			_ = store.Wait(ctx, r.After)
		}
		changes, upTo, ok := store.Since(r.After, r.Limit)
		if !ok {
			return distributor.ReadAnswer{Compacted: true, Revision: store.Revision()}, nil
		}
		a.Changes, a.Revision = changes, upTo
	}
	return a, nil
}

func (f *fakeControl) InForce(context.Context, uint64) (distributor.InForce, error) {
	return f.tally, nil
}

// restart replaces the store by one restored from its snapshot.
func (f *fakeControl) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b bytes.Buffer
	Expect(f.store.Snapshot(&b)).To(Succeed())
	f.store = storer.NewStore(storer.Settings{})
	Expect(f.store.Restore(&b, f.index)).To(Succeed())
}
