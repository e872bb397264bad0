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

// fault is something that goes wrong, or is ordered, at a moment.
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

func (f fault) strike(t *testing.T, p pair) {
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
		p.lines.refusing.Store(true)
	case reachable:
		p.lines.refusing.Store(false)
	}
}

// result is how one call ended.
type result struct {
	answer
	err error
}

// Symptom: a cut answer passes for whole, a request said not to have run did run,
// or one runs twice. Sequence: any faults at any moments, several at once. Cause:
// outcome and place in the stream must follow from what was seen, never from hope.
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
				// No two things happen at one instant, so that a run repeats itself.
				own := time.Duration(3+7*i) * time.Microsecond
				time.AfterFunc(f.at+own, func() { f.strike(t, p) })
			}
			var all sync.WaitGroup
			for i := range calls {
				settle(t, 100*time.Millisecond)
				all.Go(func() {
					r := &results[i]
					r.err = p.client.Generate(t.Context(), call(fmt.Sprint("r", i)), r.take)
				})
			}
			all.Wait()
			p.engine.Inject(generator.Faults{})
			settle(t, time.Minute)
			record = p.engine.Record()
		})
		for i, r := range results {
			if err := judge(fmt.Sprint("r", i), r, record.Runs); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

func judge(request string, r result, runs []generator.Run) error {
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
	case r.err == nil && (!r.done || r.text != whole || completed != 1):
		return errors.Errorf("%s succeeded with %q, %d completed", request, r.text, completed)
	case r.err != nil && r.done:
		return errors.Errorf("%s failed after its end: %v", request, r.err)
	case errors.Is(r.err, orderer.ErrNotRun) && began > 0:
		return errors.Errorf("%s ran, yet %v", request, r.err)
	case r.err != nil && errors.Is(r.err, orderer.ErrNotRun) == errors.Is(r.err, orderer.ErrUnknown):
		return errors.Errorf("%s has no outcome: %v", request, r.err)
	case whole[:len(r.text)] != r.text:
		return errors.Errorf("%s got %q", request, r.text)
	}
	return nil
}
