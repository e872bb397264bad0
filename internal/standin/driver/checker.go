package driver

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// maxExamples bounds the details that are kept of each broken promise.
const maxExamples = 5

// PromiseFigures tell how often a promise was tried and broken.
type PromiseFigures struct {
	Promise Promise
	// Tried counts the checks; nil means that nobody observed what the check needs.
	Tried *int64
	// Broken counts the checks that failed.
	Broken *int64
	// Examples tells of the first broken ones.
	Examples []string `json:",omitempty"`
}

// Checker gathers the findings of a run, and compares what callers were told with
// what engines and services recorded. It is not safe for concurrent use.
type Checker struct {
	checkText bool
	figures   [promises]PromiseFigures
	// notRun holds the ids of the requests refused as not run.
	notRun []refusedCall
	// keyed holds, by Idempotency-Key, the first complete answer.
	keyed map[string]keyedCall
	// keys holds the Idempotency-Key of each request id that had one.
	keys map[string]string
	// requests holds, by request id, the call's number, to find an id given twice.
	requests map[string]int
	scratch  []Finding
}

type refusedCall struct {
	request string
	number  int
	// key is the call's Idempotency-Key, or empty, and sentAt when it was sent.
	key    string
	sentAt time.Time
}

type keyedCall struct {
	number int
	// run is the id under which the engine or service answered first.
	run string
}

// NewChecker returns a checker without findings.
func NewChecker(checkText bool) *Checker {
	c := &Checker{checkText: checkText, keyed: make(map[string]keyedCall), keys: make(map[string]string), requests: make(map[string]int)}
	for p := range c.figures {
		c.figures[p].Promise = Promise(p)
	}
	for p := RightVersion; p <= OutcomeTold; p++ {
		c.observe(p)
	}
	if !checkText {
		c.figures[WholeAnswer].Tried, c.figures[WholeAnswer].Broken = nil, nil
	}
	return c
}

// observe makes the promise's figures known, 0 so far.
func (c *Checker) observe(p Promise) {
	if c.figures[p].Tried == nil {
		c.figures[p].Tried, c.figures[p].Broken = new(int64), new(int64)
	}
}

// add notes one finding.
func (c *Checker) add(f Finding) {
	c.observe(f.Promise)
	p := &c.figures[f.Promise]
	*p.Tried++
	if !f.Broken {
		return
	}
	*p.Broken++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, f.Detail)
	}
}

// Add checks one answer.
func (c *Checker) Add(call *Call, a *Answer) {
	c.scratch = Judge(c.scratch[:0], call, a, c.checkText)
	for _, f := range c.scratch {
		c.add(f)
	}
	if a.Request == "" {
		return
	}
	if a.Ending() == NotRun {
		c.notRun = append(c.notRun, refusedCall{request: a.Request, number: call.Number, key: call.Key, sentAt: a.SentAt})
	}
	if other, ok := c.requests[a.Request]; ok && other != call.Number {
		c.add(Finding{Promise: OwnAnswer, Broken: true, Detail: fmt.Sprintf("calls %d and %d got one request id, %s", other, call.Number, a.Request)})
	}
	c.requests[a.Request] = call.Number
	if call.Key != "" {
		c.keys[a.Request] = call.Key
	}
	if call.Key != "" && a.Ending() == Completed && a.Status < 300 {
		c.addKeyed(call, a)
	}
}

// addKeyed compares the run behind an answer with the one behind an earlier answer
// to the same key: two different ones prove that the call ran twice.
func (c *Checker) addKeyed(call *Call, a *Answer) {
	run := a.ID
	if call.Kind.isService() {
		run = a.Service.Request
	}
	first, ok := c.keyed[call.Key]
	if !ok {
		c.keyed[call.Key] = keyedCall{number: call.Number, run: run}
		return
	}
	f := Finding{Promise: AtMostOnce, Broken: run != first.run}
	if f.Broken {
		f.Detail = fmt.Sprintf("call %d: key %s was answered by the runs %s and %s", call.Number, call.Key, first.run, run)
	}
	c.add(f)
}

// CrossCheck compares the answers with the records of all engines and all services
// of the deployment. A nil slice means that they were not observed; what only they
// can prove then stays unknown.
func (c *Checker) CrossCheck(engines []generator.Record, services []responder.Record) {
	if engines == nil && services == nil {
		return
	}
	runs := runCounts{keys: c.keys, byRequest: make(map[string]int), byKey: make(map[string]int), begun: make(map[string]time.Time)}
	for i := range engines {
		for _, r := range engines[i].Runs {
			// What never entered the batch did not run; what was imported is the
			// other half of a run.
			if !r.Started.IsZero() && !r.Imported {
				runs.add(r.Request, "", r.Started)
			}
		}
	}
	for i := range services {
		for _, r := range services[i].Runs {
			runs.add(r.Request, r.Key, r.Started)
		}
	}
	if engines != nil {
		c.checkInUse(engines)
	}
	if engines != nil && services != nil {
		c.checkNotRun(&runs)
	}
	c.checkKeys(runs.byKey)
}

// runCounts count runs by request id and by the caller's Idempotency-Key.
type runCounts struct {
	// keys holds the keys by request id, since engines don't learn them.
	keys      map[string]string
	byRequest map[string]int
	byKey     map[string]int
	// begun is when the first run of each key began.
	begun map[string]time.Time
}

func (r *runCounts) add(request, key string, started time.Time) {
	r.byRequest[request]++
	if key == "" {
		key = r.keys[request]
	}
	if key == "" {
		return
	}
	r.byKey[key]++
	if first, ok := r.begun[key]; !ok || started.Before(first) {
		r.begun[key] = started
	}
}

// checkInUse: unloading an adapter under a request breaks that request.
func (c *Checker) checkInUse(engines []generator.Record) {
	c.observe(StaysInUse)
	for i := range engines {
		for _, o := range engines[i].Orders {
			if o.Kind != generator.UnloadOrder {
				continue
			}
			f := Finding{Promise: StaysInUse, Broken: o.InUse > 0}
			if f.Broken {
				f.Detail = fmt.Sprintf("%s unloaded under %d requests", o.Subject, o.InUse)
			}
			c.add(f)
		}
	}
}

// checkNotRun: a caller who was told that a call did not run repeats it, under another
// key perhaps: so none of its key may have run when it was sent.
func (c *Checker) checkNotRun(runs *runCounts) {
	c.observe(NotRunDidNotRun)
	for _, r := range c.notRun {
		f := Finding{Promise: NotRunDidNotRun}
		begun, ran := runs.begun[r.key]
		switch {
		case runs.byRequest[r.request] > 0:
			f.Broken, f.Detail = true, fmt.Sprintf("call %d: request %s was refused as not run and ran", r.number, r.request)
		case r.key != "" && ran && begun.Before(r.sentAt):
			f.Broken, f.Detail = true, fmt.Sprintf("call %d: request %s was refused as not run, and its key %s had run %s before it was sent",
				r.number, r.request, r.key, r.sentAt.Sub(begun))
		}
		c.add(f)
	}
}

// checkKeys: two runs under one key are two bookings or two reviews.
func (c *Checker) checkKeys(runs map[string]int) {
	c.observe(AtMostOnce)
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		f := Finding{Promise: AtMostOnce, Broken: runs[key] > 1}
		if f.Broken {
			f.Detail = fmt.Sprintf("key %s ran %d times", key, runs[key])
		}
		c.add(f)
	}
}

// Figures returns how often each promise was tried and broken.
func (c *Checker) Figures() []PromiseFigures {
	return append([]PromiseFigures(nil), c.figures[:]...)
}
