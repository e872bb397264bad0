package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// told is what a caller was told.
type told struct {
	Status  int
	Outcome string
	Body    string
	Failure error
}

// post sends a call under a key through an entry.
func post(ctx context.Context, f *faultRun, entry int, path, key, body string) (t told) {
	w := f.run.Workload.Workspaces[0]
	url := "http://" + f.deployment.CallerAddresses()[entry] + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return told{Failure: err}
	}
	r.Header.Set(translator.HeaderAuthorization, "Bearer "+f.keyOf(w.Name))
	r.Header.Set(translator.HeaderIdempotencyKey, key)
	r.Header.Set(translator.HeaderDeadline, "20s")
	r.GetBody = nil // Or net/http sends the call again by itself.
	answer, err := f.client.Do(r)
	if err != nil {
		return told{Failure: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return told{answer.StatusCode, answer.Header.Get(translator.HeaderOutcome), string(data), err}
}

// runsOf counts the runs of a key at the service and of all calls at the engines
// since a moment: they aren't told the key.
func runsOf(d *Deployment, key string, since time.Time) (runs int) {
	for _, s := range d.Services() {
		for _, r := range s.Record().Runs {
			if r.Key == key {
				runs++
			}
		}
	}
	for _, e := range d.Engines() {
		for _, r := range e.Record().Runs {
			if r.Started.After(since) {
				runs++
			}
		}
	}
	return runs
}

// claims returns whether a process has recorded a claim.
func claims(d *Deployment, process string) bool {
	p := d.Process(process)
	if p == nil {
		return false
	}
	for _, e := range p.Recorder().Events("").Events {
		if e.Kind == recorder.KindClaimed {
			return true
		}
	}
	return false
}

var _ = Describe("a call that runs at most once", Ordered, func() {
	var f *faultRun
	var d *Deployment
	const booking, title = "/services/lookup/registrations", "the title"
	number := 0
	var began time.Time
	newKey := func() string {
		began = time.Now()
		number++
		return fmt.Sprintf("once-%d", number)
	}
	BeforeAll(func(ctx SpecContext) { f, d = deploy(ctx) }, NodeTimeout(testLimit))

	// in sends a call through entry 0 and returns its answer. What did not run is
	// sent again, as the entry may not know yet of a companion that returned.
	in := func(ctx context.Context, path, key, body string) <-chan told {
		answer := make(chan told, 1)
		go func() {
			t := post(ctx, f, 0, path, key, body)
			for t.Outcome == notRunOutcome && wait(ctx, testPause) {
				t = post(ctx, f, 0, path, key, body)
			}
			answer <- t
		}()
		return answer
	}
	// again asks through the other entries and checks that what they tell is true.
	again := func(ctx context.Context, path, key, body string, most int) {
		GinkgoHelper()
		for entry := 1; entry <= 2; entry++ {
			if d.Process(d.Names()[entry]) == nil {
				continue // It is the one that was lost.
			}
			t := post(ctx, f, entry, path, key, body)
			Expect(t.Failure).NotTo(HaveOccurred())
			Expect(t.Outcome).NotTo(BeEmpty())
			runs := runsOf(d, key, began)
			Expect(runs).To(BeNumerically("<=", most), "%+v", t)
			if t.Outcome == notRunOutcome {
				Expect(runs).To(BeZero(), "%+v", t)
			}
		}
	}

	// Symptom: a booking runs twice, or is lost for good without the caller
	// knowing. The entry has the claim committed and is killed before it
	// dispatches; the caller sends the booking again through another entry.
	It("is told truly after its entry was lost between claim and dispatch", func(ctx SpecContext) {
		key := newKey()
		reached, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		d.network.onDial(func(from, to string) {
			if from == "entry-1" && to == firstService {
				once.Do(func() { close(reached) })
				<-release
			}
		})
		answer := in(ctx, booking, key, title)
		Eventually(ctx, reached, testLimit).Should(BeClosed())
		Expect(claims(d, "entry-1")).To(BeTrue())
		killed := make(chan error, 1)
		go func() { killed <- d.Kill("entry-1") }()
		Expect((<-answer).Outcome).NotTo(Equal(completedOutcome))
		d.network.onDial(nil)
		close(release)
		Expect(<-killed).To(Succeed())
		again(ctx, booking, key, title, 1)
		restarted(ctx, f, "entry-1")
	}, NodeTimeout(testLimit))

	// Symptom: a booking runs twice. Its service has begun it when a process on
	// its way is killed; the caller sends it again through other entries.
	DescribeTable("runs once, whoever is lost while it runs",
		func(ctx SpecContext, victim func() string) {
			key := newKey()
			d.Services()[0].Inject(responder.Faults{Delay: unwellTime})
			answer := in(ctx, booking, key, title)
			Eventually(ctx, func() int { return runsOf(d, key, began) }, testLimit, testPause).Should(Equal(1))
			name := victim()
			Expect(d.Kill(name)).To(Succeed())
			d.Services()[0].Inject(responder.Faults{})
			again(ctx, booking, key, title, 1)
			restarted(ctx, f, name)
			if t := <-answer; t.Failure == nil {
				Expect(t.Outcome).NotTo(Equal(notRunOutcome))
			}
			again(ctx, booking, key, title, 1)
			Expect(runsOf(d, key, began)).To(Equal(1))
		},
		Entry("the entry", NodeTimeout(testLimit), func() string { return "entry-1" }),
		Entry("the companion", NodeTimeout(testLimit), func() string { return firstService }),
		Entry("the control leader", NodeTimeout(testLimit), func() string { return d.Leader() }),
	)

	// Symptom: a title review runs twice. The engine that runs it restarts empty;
	// the caller sends it again through other entries.
	It("runs once on an engine that restarts", func(ctx SpecContext) {
		key := newKey()
		w := f.run.Workload.Workspaces[0]
		body := fmt.Sprintf(`{"model":"%s/%s-0000","prompt":"review","max_tokens":%d}`, w.Name, w.AdapterPrefix, streamTokens)
		answer := in(ctx, translator.PathCompletion, key, body)
		Eventually(ctx, func() int { return runsOf(d, key, began) }, testLimit, testPause).Should(Equal(1))
		for _, e := range d.Engines() {
			e.Inject(generator.Faults{Restart: true})
		}
		Expect((<-answer).Outcome).NotTo(Equal(notRunOutcome))
		again(ctx, translator.PathCompletion, key, body, 1)
		Expect(d.Ready(ctx)).To(Succeed())
	}, NodeTimeout(testLimit))

	// Symptom: two entries each run a booking. The same key comes through all
	// entries at one moment.
	It("runs once when it comes through all entries at once", func(ctx SpecContext) {
		key := newKey()
		answers := make([]told, 3)
		var calls sync.WaitGroup
		for entry := range answers {
			calls.Go(func() { answers[entry] = post(ctx, f, entry, booking, key, title) })
		}
		calls.Wait()
		Expect(runsOf(d, key, began)).To(Equal(1))
		Expect(answers).To(ContainElement(HaveField("Outcome", completedOutcome)))
		Expect(answers).NotTo(ContainElement(HaveField("Outcome", notRunOutcome)))
	}, NodeTimeout(testLimit))

	It("refuses the key with another body", func(ctx SpecContext) {
		key := newKey()
		Expect(post(ctx, f, 0, booking, key, title).Outcome).To(Equal(completedOutcome))
		t := post(ctx, f, 1, booking, key, "another title")
		Expect(t.Status).To(BeNumerically(">=", http.StatusBadRequest), "%+v", t)
		Expect(t.Outcome).NotTo(Equal(completedOutcome))
		Expect(runsOf(d, key, began)).To(Equal(1))
	}, NodeTimeout(testLimit))
})

const completedOutcome = "Completed"
