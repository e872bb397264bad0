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

// callResult is the answer that a caller received.
type callResult struct {
	Status  int
	Outcome string
	Body    string
	Failure error
}

// post sends a call with an idempotency key through an entry.
func post(ctx context.Context, f *faultRun, entry int, path, key, body string) (t callResult) {
	w := f.run.Workload.Workspaces[0]
	url := "http://" + f.deployment.CallerAddresses()[entry] + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return callResult{Failure: err}
	}
	r.Header.Set(translator.HeaderAuthorization, "Bearer "+f.keyOf(w.Name))
	r.Header.Set(translator.HeaderIdempotencyKey, key)
	r.Header.Set(translator.HeaderDeadline, "20s")
	r.GetBody = nil // Otherwise net/http may repeat the request itself.
	answer, err := f.client.Do(r)
	if err != nil {
		return callResult{Failure: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return callResult{answer.StatusCode, answer.Header.Get(translator.HeaderOutcome), string(data), err}
}

// runsOf returns the number of runs with a key at the services plus that of all
// runs at the engines after since: engines do not receive the key.
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

// hasClaimed reports whether a running process has recorded a claim.
func hasClaimed(d *Deployment, process string) bool {
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

	// sendAsync sends a call through entry 0 in the background and delivers its
	// answer. It repeats calls that did not run, since the entry may not have
	// learned yet of a companion that restarted.
	sendAsync := func(ctx context.Context, path, key, body string) <-chan callResult {
		answer := make(chan callResult, 1)
		go func() {
			t := post(ctx, f, 0, path, key, body)
			for t.Outcome == notRunOutcome && sleep(ctx, testPause) {
				t = post(ctx, f, 0, path, key, body)
			}
			answer <- t
		}()
		return answer
	}
	// repeat sends the call again through the other entries that run. It checks that
	// the key has run no more than most times, and not at all if the answer says so.
	repeat := func(ctx context.Context, path, key, body string, most int) {
		GinkgoHelper()
		for entry := 1; entry <= 2; entry++ {
			if d.Process(d.Names()[entry]) == nil {
				continue // This entry was killed.
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

	// Guards against a booking that runs twice, or is lost without the caller
	// learning of it: the entry is killed after its claim is committed and before it
	// dispatches, and the caller sends the booking again through another entry.
	It("gets a correct answer after its entry was killed between claim and dispatch", func(ctx SpecContext) {
		key := newKey()
		reached, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		d.network.onDial(func(from, to string) {
			if from == "entry-1" && to == firstService {
				once.Do(func() { close(reached) })
				<-release
			}
		})
		answer := sendAsync(ctx, booking, key, title)
		Eventually(ctx, reached, testLimit).Should(BeClosed())
		Expect(hasClaimed(d, "entry-1")).To(BeTrue())
		killed := make(chan error, 1)
		go func() { killed <- d.Kill("entry-1") }()
		Expect((<-answer).Outcome).NotTo(Equal(completedOutcome))
		d.network.onDial(nil)
		close(release)
		Expect(<-killed).To(Succeed())
		repeat(ctx, booking, key, title, 1)
		restarted(ctx, f, "entry-1")
	}, NodeTimeout(testLimit))

	// Guards against a booking that runs twice: a process on its path is killed
	// after the service has begun the booking, and the caller sends it again through
	// other entries.
	DescribeTable("runs once, whichever process is killed meanwhile",
		func(ctx SpecContext, victim func() string) {
			key := newKey()
			d.Services()[0].Inject(responder.Faults{Delay: degradedTime})
			answer := sendAsync(ctx, booking, key, title)
			Eventually(ctx, func() int { return runsOf(d, key, began) }, testLimit, testPause).Should(Equal(1))
			name := victim()
			Expect(d.Kill(name)).To(Succeed())
			d.Services()[0].Inject(responder.Faults{})
			repeat(ctx, booking, key, title, 1)
			restarted(ctx, f, name)
			if t := <-answer; t.Failure == nil {
				Expect(t.Outcome).NotTo(Equal(notRunOutcome))
			}
			repeat(ctx, booking, key, title, 1)
			Expect(runsOf(d, key, began)).To(Equal(1))
		},
		Entry("the entry", NodeTimeout(testLimit), func() string { return "entry-1" }),
		Entry("the companion", NodeTimeout(testLimit), func() string { return firstService }),
		Entry("the control leader", NodeTimeout(testLimit), func() string { return d.Leader() }),
	)

	// Guards against a title review that runs twice: the engine that runs it
	// restarts, and the caller sends the review again through other entries.
	It("runs once on an engine that restarts", func(ctx SpecContext) {
		key := newKey()
		w := f.run.Workload.Workspaces[0]
		body := fmt.Sprintf(`{"model":"%s/%s-0000","prompt":"review","max_tokens":%d}`, w.Name, w.AdapterPrefix, streamTokens)
		answer := sendAsync(ctx, translator.PathCompletion, key, body)
		Eventually(ctx, func() int { return runsOf(d, key, began) }, testLimit, testPause).Should(Equal(1))
		for _, e := range d.Engines() {
			e.Inject(generator.Faults{Restart: true})
		}
		Expect((<-answer).Outcome).NotTo(Equal(notRunOutcome))
		repeat(ctx, translator.PathCompletion, key, body, 1)
		Expect(d.Ready(ctx)).To(Succeed())
	}, NodeTimeout(testLimit))

	// Guards against a booking that runs once per entry: calls with the same key
	// arrive through all entries at the same time.
	It("runs once when it is sent through all entries at once", func(ctx SpecContext) {
		key := newKey()
		answers := make([]callResult, 3)
		var calls sync.WaitGroup
		for entry := range answers {
			calls.Go(func() { answers[entry] = post(ctx, f, entry, booking, key, title) })
		}
		calls.Wait()
		Expect(runsOf(d, key, began)).To(Equal(1))
		Expect(answers).To(ContainElement(HaveField("Outcome", completedOutcome)))
		Expect(answers).NotTo(ContainElement(HaveField("Outcome", notRunOutcome)))
	}, NodeTimeout(testLimit))

	It("is refused if another body comes with the same key", func(ctx SpecContext) {
		key := newKey()
		Expect(post(ctx, f, 0, booking, key, title).Outcome).To(Equal(completedOutcome))
		t := post(ctx, f, 1, booking, key, "another title")
		Expect(t.Status).To(BeNumerically(">=", http.StatusBadRequest), "%+v", t)
		Expect(t.Outcome).NotTo(Equal(completedOutcome))
		Expect(runsOf(d, key, began)).To(Equal(1))
	}, NodeTimeout(testLimit))
})

const completedOutcome = "Completed"
