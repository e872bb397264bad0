package driver_test

import (
	"bytes"
	"fmt"
	"image/png"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// sampleRun returns the report of a synthetic run: calls that need a load stall longer after
// the shift, and all calls take longer during the rush.
func sampleRun(label string, slowness float64, length time.Duration, observed bool) *driver.Report {
	w := driver.Peachtree().WithAdapters(100)
	s := driver.Settings{
		Workload: w,
		Label:    label,
		Entries:  []driver.Entry{{Address: "127.0.0.1:1"}},
		Schedule: driver.ScheduleSettings{Seed: 1, Duration: length},
		WarmUp:   length / 10,
	}
	schedule := driver.NewSchedule(w, s.Schedule)
	var calls []driver.Call
	var answers []driver.Answer
	var c driver.Call
	for schedule.Next(&c) {
		calls = append(calls, c)
		answers = append(answers, sampleAnswer(&c, slowness, length))
	}
	start := time.Unix(1_800_000_000, 0).UTC()
	before, after := driver.Observation{At: start}, driver.Observation{At: start.Add(length)}
	if !observed {
		return driver.ReportOf(s, calls, answers, before, after, nil)
	}
	before.Engines = []driver.EngineObservation{{Record: &generator.Record{}}}
	before.Services = []responder.Record{{}}
	after.Services = before.Services
	r := generator.Record{Steps: 1000, SequenceSteps: int64(6000 / slowness)}
	for at := time.Second; at < length; at += time.Duration(float64(2*time.Second) / slowness) {
		kind := generator.LoadOrder
		if len(r.Orders)%3 == 0 {
			kind = generator.UnloadOrder
		}
		r.Orders = append(r.Orders, generator.Order{Kind: kind, Subject: "a", At: start.Add(at), Status: http.StatusOK})
	}
	after.Engines = []driver.EngineObservation{{
		Record:   &r,
		Counters: driver.Counters{BatchCapacity: 16 * float64(r.Steps), BatchUsed: float64(r.SequenceSteps)},
	}}
	var fills []float64
	for i := range int(length / time.Second) {
		fills = append(fills, 0.4+0.2*math.Sin(float64(i)/7)/slowness)
	}
	return driver.ReportOf(s, calls, answers, before, after, fills)
}

// sampleAnswer returns an answer whose times depend only on the call.
func sampleAnswer(c *driver.Call, slowness float64, length time.Duration) driver.Answer {
	a := rightAnswer(c)
	a.Sent = c.Intended + time.Millisecond
	took := time.Duration(float64(20+c.MaxTokens) * slowness * float64(time.Millisecond))
	if c.InRush {
		took *= 2
	}
	if c.Number%5 == 0 && c.Model != "" {
		a.Stall.Length = took
		if c.Intended > length/2 {
			a.Stall.Length = 2 * took
		}
	}
	a.Stall.Known, a.Queue.Known = c.Number%7 != 0, true
	a.Queue.Length = took / 10
	a.FirstToken = c.Intended + took/4 + a.Stall.Length
	a.Ended = c.Intended + took + a.Stall.Length
	a.Gaps = []time.Duration{took / 8, took / 4}
	if c.Number%50 == 0 {
		a = driver.Answer{
			Status: 503, Request: a.Request, Outcome: "NotRun", Code: "overloaded", RetryAfter: c.Number%100 == 0, Ended: a.Ended, Sent: a.Sent,
		}
	}
	return a
}

var _ = Describe("Report", func() {
	It("is written as the golden JSON and can be read back", func() {
		r := sampleRun("marigold", 1, 12*time.Second, true)
		r.Series = r.Series[:2]
		var text bytes.Buffer
		Expect(r.WriteJSON(&text)).To(Succeed())
		expectGolden("report.json", text.Bytes())
		path := filepath.Join(GinkgoT().TempDir(), "report.json")
		Expect(os.WriteFile(path, text.Bytes(), 0o600)).To(Succeed())
		Expect(driver.ReadReport(path)).To(Equal(r))
	})

	It("is written as the golden text", func() {
		var text bytes.Buffer
		Expect(sampleRun("marigold", 1, 12*time.Second, true).WriteText(&text)).To(Succeed())
		expectGolden("report.txt", text.Bytes())
	})

	It("is compared as the golden text, which marks figures that were not observed", func() {
		var text bytes.Buffer
		a, b := sampleRun("LeastLoaded", 2, 12*time.Second, true), sampleRun("marigold", 1, 12*time.Second, false)
		Expect(driver.Compare(&text, a, b)).To(Succeed())
		expectGolden("compare.txt", text.Bytes())
	})

	It("is plotted with and without observations", func() {
		for _, r := range []*driver.Report{sampleRun("marigold", 1, time.Minute, true), sampleRun("", 1, time.Second, false)} {
			var picture bytes.Buffer
			Expect(r.WritePlot(&picture)).To(Succeed())
			if *update {
				Expect(os.WriteFile(filepath.Join(os.TempDir(), "driver-"+r.Label+".png"), picture.Bytes(), 0o600)).To(Succeed())
			}
			Expect(png.Decode(&picture)).NotTo(BeNil())
		}
	})
})

// The lowest miss rates of the two workloads with four slots per engine.
func ExampleWorkload_MissShare() {
	for _, w := range []driver.Workload{driver.Peachtree(), driver.Agenzia()} {
		engineCalls := w.Rate * (1 - (w.Mix.ServiceRead+w.Mix.ServiceWrite)/100)
		miss := w.MissShare(4 * w.Size.Engines)
		fmt.Printf("%s: %.1f%% of the calls, %.2f of %d loads a second\n", w.Name, 100*miss, miss*engineCalls, w.Size.LoadsPerSecond)
	}
	// Output:
	// peachtree: 20.5% of the calls, 1.97 of 4 loads a second
	// agenzia: 24.5% of the calls, 1.65 of 3 loads a second
}
