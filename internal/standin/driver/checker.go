package driver

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// maxExamples limits the details that are stored for each broken promise.
const maxExamples = 5

// PromiseFigures count how often a promise was checked and broken.
type PromiseFigures struct {
	Promise Promise
	// Tried counts the checks; nil means that the data for the check was not observed.
	Tried *int64
	// Broken counts the checks that failed.
	Broken *int64
	// Examples describe the first failed checks.
	Examples []string `json:",omitempty"`
}

// Checker collects the findings of a run and compares the answers with the records of
// engines and services. It is not safe for concurrent use.
type Checker struct {
	checkText bool
	figures   [promises]PromiseFigures
	// notRun holds the calls that were refused as not run.
	notRun []refusedCall
	// services holds the complete answers of plain services.
	services []serviceAnswer
	// keyed holds, by Idempotency-Key, the first complete answer.
	keyed map[string]keyedCall
	// keys holds the Idempotency-Key by request id.
	keys map[string]string
	// requests holds the call's number by request id, to detect an id that was used twice.
	requests map[string]int
	buffer   []Finding
}

type refusedCall struct {
	request string
	number  int
	// key is the call's Idempotency-Key, or empty; sentAt is the time at which the call was
	// sent.
	key    string
	sentAt time.Time
}

type keyedCall struct {
	number int
	// runID is the id in the first answer of the engine or service.
	runID string
}

// serviceAnswer is an answer of a plain service that its caller took for complete.
type serviceAnswer struct {
	// request and run identify the run that the answer names; run is 0 if it names none.
	request string
	run     int64
	number  int
}

// NewChecker returns a checker without findings. Without checkText the text of answers is
// not compared.
func NewChecker(checkText bool) *Checker {
	c := &Checker{checkText: checkText, keyed: make(map[string]keyedCall), keys: make(map[string]string), requests: make(map[string]int)}
	for p := range c.figures {
		c.figures[p].Promise = Promise(p)
	}
	for p := RightVersion; p <= OutcomeTold; p++ {
		c.markTried(p)
	}
	if !checkText {
		c.figures[WholeAnswer].Tried, c.figures[WholeAnswer].Broken = nil, nil
	}
	return c
}

// markTried sets the figures of a promise to 0 if they are nil.
func (c *Checker) markTried(p Promise) {
	if c.figures[p].Tried == nil {
		c.figures[p].Tried, c.figures[p].Broken = new(int64), new(int64)
	}
}

// add counts one finding.
func (c *Checker) add(f Finding) {
	c.markTried(f.Promise)
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

// Add checks one answer and stores what CrossCheck needs of it.
func (c *Checker) Add(call *Call, a *Answer) {
	c.buffer = Judge(c.buffer[:0], call, a, c.checkText)
	for _, f := range c.buffer {
		c.add(f)
	}
	if a.Request == "" {
		return
	}
	if a.Ending() == NotRun {
		c.notRun = append(c.notRun, refusedCall{request: a.Request, number: call.Number, key: call.Key, sentAt: a.SentAt})
	}
	if call.Kind.isService() && a.Ending() == Completed && a.Status == http.StatusOK {
		c.services = append(c.services, serviceAnswer{cmp.Or(a.Service.Request, a.Request), a.Service.Run, call.Number})
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

// addKeyed compares the run that gave an answer with that of an earlier answer to the same
// key: two different runs prove that the call ran twice.
func (c *Checker) addKeyed(call *Call, a *Answer) {
	runID := a.ID
	if call.Kind.isService() {
		runID = a.Service.Request
	}
	first, ok := c.keyed[call.Key]
	if !ok {
		c.keyed[call.Key] = keyedCall{number: call.Number, runID: runID}
		return
	}
	f := Finding{Promise: AtMostOnce, Broken: runID != first.runID}
	if f.Broken {
		f.Detail = fmt.Sprintf("call %d: key %s was answered by the runs %s and %s", call.Number, call.Key, first.runID, runID)
	}
	c.add(f)
}

// CrossCheck compares the answers with the records of all engines and all services of the
// deployment. A nil slice means that they were not observed; the promises that only they
// can prove are then not checked.
func (c *Checker) CrossCheck(engines []generator.Record, services []responder.Record) {
	if engines == nil && services == nil {
		return
	}
	runs := runCounts{keys: c.keys, byRequest: make(map[string]int), byKey: make(map[string]int), firstStart: make(map[string]time.Time)}
	for i := range engines {
		for _, r := range engines[i].Runs {
			// A request that never entered the batch did not run; an imported one is the
			// second part of a run that began at another engine.
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
	c.checkServices(services)
}

// checkServices checks that an answer of a plain service that was complete to its caller was
// sent whole by the run that it names. Answers to runs that are not in the records are not
// checked.
func (c *Checker) checkServices(services []responder.Record) {
	whole := make(map[string][]int64)
	for i := range services {
		for _, r := range services[i].Runs {
			runs := whole[r.Request]
			if r.Outcome == responder.Answered {
				runs = append(runs, r.Sequence)
			}
			whole[r.Request] = runs
		}
	}
	for _, a := range c.services {
		runs, ran := whole[a.request]
		if !ran {
			continue
		}
		f := Finding{Promise: HonestEnd, Broken: !slices.Contains(runs, a.run)}
		if f.Broken {
			f.Detail = fmt.Sprintf("call %d: the answer to request %s was complete to its caller, and run %d did not send it whole", a.number, a.request, a.run)
		}
		c.add(f)
	}
}

// runCounts counts runs by request id and by the caller's Idempotency-Key.
type runCounts struct {
	// keys holds the keys by request id, because engines do not receive the keys.
	keys      map[string]string
	byRequest map[string]int
	byKey     map[string]int
	// firstStart is the start of the first run by key.
	firstStart map[string]time.Time
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
	if first, ok := r.firstStart[key]; !ok || started.Before(first) {
		r.firstStart[key] = started
	}
}

// checkInUse checks that no adapter was unloaded while requests used it.
func (c *Checker) checkInUse(engines []generator.Record) {
	c.markTried(StaysInUse)
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

// checkNotRun checks the calls that were refused as not run. A caller may repeat such a
// call, possibly under another key, so no run of its key may have started before the call
// was sent.
func (c *Checker) checkNotRun(runs *runCounts) {
	c.markTried(NotRunDidNotRun)
	for _, r := range c.notRun {
		f := Finding{Promise: NotRunDidNotRun}
		firstStart, ran := runs.firstStart[r.key]
		switch {
		case runs.byRequest[r.request] > 0:
			f.Broken, f.Detail = true, fmt.Sprintf("call %d: request %s was refused as not run and ran", r.number, r.request)
		case r.key != "" && ran && firstStart.Before(r.sentAt):
			f.Broken, f.Detail = true, fmt.Sprintf("call %d: request %s was refused as not run, and its key %s had run %s before it was sent",
				r.number, r.request, r.key, r.sentAt.Sub(firstStart))
		}
		c.add(f)
	}
}

// checkKeys checks that each key ran at most once: two runs would be two bookings or two
// reviews.
func (c *Checker) checkKeys(runs map[string]int) {
	c.markTried(AtMostOnce)
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		f := Finding{Promise: AtMostOnce, Broken: runs[key] > 1}
		if f.Broken {
			f.Detail = fmt.Sprintf("key %s ran %d times", key, runs[key])
		}
		c.add(f)
	}
}

// Figures returns the counts of each promise.
func (c *Checker) Figures() []PromiseFigures {
	return append([]PromiseFigures(nil), c.figures[:]...)
}
