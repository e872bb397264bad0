package orderer_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// fault is a fault or an order that occurs at a given time.
type fault struct {
	at    time.Duration
	kind  int
	count int
}

const (
	silence = iota
	restart
	freeze
	thaw
	dropStreams
	unload
	cancelCall
	refuseAll
	unreachable
	reachable
	faultKinds
)

func (f fault) apply(t *testing.T, p pair) {
	t.Helper()
	switch f.kind {
	case silence:
		p.engine.Inject(generator.Faults{Silence: true})
	case restart:
		p.engine.Restart()
	case freeze:
		p.engine.Inject(generator.Faults{Frozen: true})
	case thaw:
		p.engine.Inject(generator.Faults{})
	case dropStreams:
		p.engine.Inject(generator.Faults{DropStreams: f.count, DropAfter: f.count})
	case unload:
		_ = p.client.Unload(t.Context(), 1, adapter)
	case cancelCall:
		_, _ = p.client.Cancel(t.Context(), fmt.Sprint("r", f.count))
	case refuseAll:
		p.engine.Inject(generator.Faults{RefuseGeneration: true})
	case unreachable:
		p.listener.refusing.Store(true)
	case reachable:
		p.listener.refusing.Store(false)
	}
}

// result is the result of one call.
type result struct {
	answer
	err error
}

// TestPropertyAnswersUnderFaults guards against a truncated answer that is reported as
// complete, a request that ran although it was reported as not run, and a request that
// runs twice. Arbitrary faults occur at arbitrary times, several at once. The outcome and
// the position in the stream must follow only from what was observed.
func TestPropertyAnswersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const calls = 6
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				at:    time.Duration(rapid.IntRange(0, 2000).Draw(rt, "at")) * time.Millisecond,
				kind:  rapid.IntRange(0, faultKinds-1).Draw(rt, "kind"),
				count: rapid.IntRange(0, calls-1).Draw(rt, "count"),
			}
		}), 1, 10).Draw(rt, "faults")
		results := make([]result, calls)
		var record generator.Record
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, generator.Settings{MaxBatch: 3})
			for i, f := range faults {
				// No two faults occur at the same instant, so that runs are reproducible.
				own := time.Duration(3+7*i) * time.Microsecond
				time.AfterFunc(f.at+own, func() { f.apply(t, p) })
			}
			var all sync.WaitGroup
			for i := range calls {
				sleep(t, 100*time.Millisecond)
				all.Go(func() {
					r := &results[i]
					r.err = p.client.Generate(t.Context(), call(fmt.Sprint("r", i)), r.add)
				})
			}
			all.Wait()
			p.engine.Inject(generator.Faults{})
			sleep(t, time.Minute)
			record = p.engine.Record()
		})
		for i, r := range results {
			if err := checkOutcome(fmt.Sprint("r", i), r, record.Runs); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

func checkOutcome(request string, r result, runs []generator.Run) error {
	accepted, began, completed := 0, 0, 0
	for _, run := range runs {
		if run.Request != request {
			continue
		}
		accepted++
		if !run.Started.IsZero() {
			began++
		}
		if run.Outcome == generator.Completed {
			completed++
		}
	}
	switch {
	case accepted > 1:
		return errors.Errorf("%s was accepted %d times", request, accepted)
	case r.err == nil && (!r.done || r.text != expectedText || completed != 1):
		return errors.Errorf("%s succeeded with %q, %d completed", request, r.text, completed)
	case r.err != nil && r.done:
		return errors.Errorf("%s failed after its end: %v", request, r.err)
	case errors.Is(r.err, orderer.ErrNotRun) && began > 0:
		return errors.Errorf("%s ran, yet %v", request, r.err)
	case r.err != nil && errors.Is(r.err, orderer.ErrNotRun) == errors.Is(r.err, orderer.ErrUnknown):
		return errors.Errorf("%s has no outcome: %v", request, r.err)
	case expectedText[:len(r.text)] != r.text:
		return errors.Errorf("%s got %q", request, r.text)
	}
	return nil
}
