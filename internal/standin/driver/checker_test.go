package driver_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// exchange is a call and its answer.
type exchange struct {
	call   driver.Call
	answer driver.Answer
}

// correctAnswers returns the first calls of a schedule with their correct answers.
func correctAnswers(seed uint64, count int) []exchange {
	w := driver.Agenzia()
	s := driver.NewSchedule(w, driver.ScheduleSettings{Seed: seed, Duration: time.Hour, MaxCalls: count})
	var all []exchange
	var c driver.Call
	for s.Next(&c) {
		all = append(all, exchange{call: c, answer: rightAnswer(&c)})
	}
	return all
}

// rightAnswer returns the correct answer to the call.
func rightAnswer(c *driver.Call) driver.Answer {
	id := fmt.Sprintf("entry-%04d", c.Number)
	a := driver.Answer{Status: http.StatusOK, Request: id, Outcome: "Completed", Done: true}
	if c.Model == "" {
		a.Service = responder.Answer{Request: id, Path: c.Path}
		return a
	}
	a.Adapter, a.Model, a.ID = c.Version, c.Version, id
	a.Text = generator.Expected(c.Version, driver.EnginePrompt(c), c.MaxTokens)
	return a
}

// broken returns the promises that the answers and records violate.
func broken(all []exchange, engines []generator.Record, services []responder.Record) []driver.Promise {
	c := driver.NewChecker(true)
	for i := range all {
		c.Add(&all[i].call, &all[i].answer)
	}
	c.CrossCheck(engines, services)
	var found []driver.Promise
	for _, f := range c.Figures() {
		if f.Broken != nil && *f.Broken > 0 {
			found = append(found, f.Promise)
		}
	}
	return found
}

func (e *exchange) streamed() bool {
	return e.call.Kind == driver.StreamedChat || e.call.Kind == driver.StreamedCompletion
}

// runsOf returns the records of engines and services in which each call ran once.
func runsOf(all []exchange) ([]generator.Record, []responder.Record) {
	now := time.Now()
	var e generator.Record
	var s responder.Record
	for i := range all {
		id := all[i].answer.Request
		if all[i].call.Model == "" {
			s.Runs = append(s.Runs, responder.Run{Request: id, Key: all[i].call.Key, Outcome: responder.Answered})
		} else {
			e.Runs = append(e.Runs, generator.Run{Request: id, Started: now})
		}
	}
	e.Orders = []generator.Order{{Kind: generator.UnloadOrder, Status: http.StatusOK}}
	return []generator.Record{e}, []responder.Record{s}
}

// fault is a fault that a test injects and the promise that it breaks.
type fault struct {
	name    string
	promise driver.Promise
	// fits reports whether the fault can be injected into the call x, followed by next.
	fits   func(x, next *exchange) bool
	inject func(x, next *exchange, e *generator.Record, s *responder.Record)
}

func anyCall(_, _ *exchange) bool     { return true }
func engineCall(x, _ *exchange) bool  { return x.call.Model != "" }
func streamCall(x, _ *exchange) bool  { return x.streamed() }
func wholeCall(x, _ *exchange) bool   { return x.call.Model != "" && !x.streamed() }
func serviceRead(x, _ *exchange) bool { return x.call.Kind == driver.ServiceRead }
func bothEngine(x, n *exchange) bool  { return x.call.Model != "" && n.call.Model != "" }
func bothKeyless(x, n *exchange) bool { return x.call.Key == "" && n.call.Key == "" }

func kind(k driver.CallKind) func(x, _ *exchange) bool {
	return func(x, _ *exchange) bool { return x.call.Kind == k }
}

// answerFault returns a fault that changes only the answer.
func answerFault(name string, p driver.Promise, fits func(x, next *exchange) bool, do func(a *driver.Answer)) fault {
	return fault{name, p, fits, func(x, _ *exchange, _ *generator.Record, _ *responder.Record) { do(&x.answer) }}
}

var faults = []fault{
	answerFault("interrupted stream that ends cleanly", driver.HonestEnd, streamCall, func(a *driver.Answer) {
		a.Done, a.Text = false, a.Text[:len(a.Text)/2]
	}),
	answerFault("interrupted stream that ends with the end marker", driver.HonestEnd, streamCall, func(a *driver.Answer) {
		a.Text = a.Text[:len(a.Text)*2/3]
	}),
	answerFault("truncated unstreamed answer", driver.WholeAnswer, wholeCall, func(a *driver.Answer) {
		a.Text = a.Text[:len(a.Text)/2]
	}),
	answerFault("duplicated text", driver.WholeAnswer, engineCall, func(a *driver.Answer) { a.Text += a.Text }),
	answerFault("header of another version", driver.RightVersion, engineCall, func(a *driver.Answer) { a.Adapter += "x" }),
	answerFault("body of another model", driver.RightVersion, engineCall, func(a *driver.Answer) { a.Model += "x" }),
	answerFault("parts of two answers", driver.OwnAnswer, engineCall, func(a *driver.Answer) { a.Mixed = true }),
	answerFault("service's answer to another request", driver.OwnAnswer, serviceRead, func(a *driver.Answer) { a.Service.Request += "x" }),
	answerFault("refusal without an outcome", driver.OutcomeTold, anyCall, func(a *driver.Answer) {
		*a = driver.Answer{Status: 500, Request: a.Request, Done: true}
	}),
	answerFault("refused as not run, but ran", driver.NotRunDidNotRun, anyCall, func(a *driver.Answer) {
		*a = driver.Answer{Status: 503, Request: a.Request, Outcome: "NotRun", Done: true, RetryAfter: true}
	}),
	{"refused as not run, but its key ran before", driver.NotRunDidNotRun, kind(driver.ServiceWrite), func(x, _ *exchange, _ *generator.Record, s *responder.Record) {
		for i := range s.Runs {
			if s.Runs[i].Key == x.call.Key {
				s.Runs[i].Started = time.Now().Add(-time.Second)
			}
		}
		x.answer = driver.Answer{Status: 503, Request: x.answer.Request + "b", Outcome: "NotRun", Done: true, RetryAfter: true, SentAt: time.Now()}
	}},
	{"text of another version", driver.OwnAnswer, engineCall, func(x, _ *exchange, _ *generator.Record, _ *responder.Record) {
		x.answer.Text = generator.Expected(x.call.Version+"x", driver.EnginePrompt(&x.call), x.call.MaxTokens)
	}},
	{"swapped answers", driver.OwnAnswer, bothEngine, func(x, n *exchange, _ *generator.Record, _ *responder.Record) {
		x.answer.Text, n.answer.Text = n.answer.Text, x.answer.Text
	}},
	{"one request id for two calls", driver.OwnAnswer, bothKeyless, func(x, n *exchange, _ *generator.Record, _ *responder.Record) {
		x.answer.Request = n.answer.Request
	}},
	{"booking that ran twice", driver.AtMostOnce, kind(driver.ServiceWrite), func(x, _ *exchange, _ *generator.Record, s *responder.Record) {
		s.Runs = append(s.Runs, responder.Run{Request: "late", Key: x.call.Key})
	}},
	{"cut answer that ends as a complete one", driver.HonestEnd, serviceRead, func(x, _ *exchange, _ *generator.Record, s *responder.Record) {
		for i := range s.Runs {
			if s.Runs[i].Request == x.answer.Request {
				s.Runs[i].Outcome = responder.Cut
			}
		}
	}},
	{"review that ran on two engines", driver.AtMostOnce, kind(driver.Review), func(x, _ *exchange, e *generator.Record, _ *responder.Record) {
		e.Runs = append(e.Runs, generator.Run{Request: x.answer.Request, Started: time.Now()})
	}},
	{"adapter unloaded in use", driver.StaysInUse, anyCall, func(_, _ *exchange, e *generator.Record, _ *responder.Record) {
		e.Orders = append(e.Orders, generator.Order{Kind: generator.UnloadOrder, Status: http.StatusOK, InUse: 1})
	}},
}

// TestPropertyPlantedFaults checks that a run without faults breaks no promise, and that
// each injected fault breaks exactly its own promise.
func TestPropertyPlantedFaults(t *testing.T) {
	for _, p := range faults {
		t.Run(p.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				all := correctAnswers(rapid.Uint64().Draw(t, "seed"), 100)
				engines, services := runsOf(all)
				if found := broken(all, engines, services); len(found) > 0 {
					t.Fatalf("without a fault: %v", found)
				}
				i := rapid.IntRange(0, len(all)-2).Draw(t, "call")
				for !p.fits(&all[i], &all[i+1]) {
					if i++; i == len(all)-1 {
						t.Skip("no call fits the fault")
					}
				}
				p.inject(&all[i], &all[i+1], &engines[0], &services[0])
				found := broken(all, engines, services)
				if len(found) != 1 || found[0] != p.promise {
					t.Fatalf("found %v at call %+v", found, all[i].call)
				}
			})
		})
	}
}

var _ = Describe("Checker", func() {
	// Guards against a booking that is made twice although the caller got only correct
	// answers: the caller sends a duplicate through another entry before the first answer,
	// and both entries run the call because neither claimed the key first.
	It("detects a second run from the two answers alone", func() {
		all := correctAnswers(1, 400)
		for i := range all {
			if all[i].call.Kind != driver.ServiceWrite || !all[i].call.Resend {
				continue
			}
			again := all[i]
			again.answer.Request += "b"
			Expect(broken([]exchange{all[i], again}, nil, nil)).To(BeEmpty(), "the retained answer, returned again")
			again.answer.Service.Request += "b"
			Expect(broken([]exchange{all[i], again}, nil, nil)).To(Equal([]driver.Promise{driver.AtMostOnce}))
			return
		}
		Fail("the schedule has no duplicate of a service write")
	})

	It("distinguishes promises that were not observed from promises without checks", func() {
		c := driver.NewChecker(false)
		c.CrossCheck(nil, nil)
		for _, f := range c.Figures() {
			switch f.Promise {
			case driver.WholeAnswer, driver.NotRunDidNotRun, driver.AtMostOnce, driver.StaysInUse:
				Expect(f.Tried).To(BeNil(), f.Promise.String())
			default:
				Expect(f.Tried).To(HaveValue(BeZero()), f.Promise.String())
			}
		}
	})
})
