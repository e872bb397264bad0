package companion

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// limitedService is a plain service that names a limit of requests and records the requests.
type limitedService struct {
	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func (s *limitedService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.limit != "" {
		w.Header().Set(orderer.HeaderRequestLimit, s.limit)
	}
}

func (s *limitedService) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// mostIn returns the largest number of requests in a window, without the first request.
func (s *limitedService) mostIn(window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, first := range s.arrivals[1:] {
		n := 0
		for _, at := range s.arrivals[1+i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("A companion whose backend server limits requests", func() {
	var (
		service *limitedService
		b       *bench
		l       *fakeLink
	)
	BeforeEach(func() {
		service = &limitedService{limit: "40"}
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		b = &bench{control: &fakeControl{}}
		b.companion = b.compose(false, nil, orderer.NewService(orderer.Settings{Address: server.Listener.Addr().String()}))
		Expect(b.companion.Start(context.Background())).To(Succeed())
		DeferCleanup(b.companion.Close)
		l = newLink(b.companion)
	})
	call := func(request string) messenger.Dispatch {
		return messenger.Dispatch{
			Request: request, Attempt: 1, Kind: messenger.CallKindService, Workspace: "w", Epoch: b.companion.epoch(),
			Method: http.MethodPost, Path: "/",
		}
	}
	sendMany := func(prefix string, n int) {
		for i := range n {
			l.send(call(fmt.Sprint(prefix, i)))
		}
		for i := range n {
			Expect(l.wait(fmt.Sprint(prefix, i)).Outcome).To(Equal(messenger.OutcomeCompleted))
		}
	}

	// Guards against more requests than the backend server has named, by the product's own
	// API.
	It("spaces the requests", func() {
		sendMany("first", 1)
		sendMany("r", 40)
		const window = 500 * time.Millisecond
		Expect(service.mostIn(window)).To(BeNumerically("<=", 40*window.Seconds()+10+1), "the limit, and a burst of a quarter of a second")
	})

	It("refuses what has no turn before its deadline, with the time of the next one", func() {
		service.setLimit("0.1")
		sendMany("first", 1)
		d := call("late")
		d.DeadlineMillis = 500
		refusal := l.refused(d)
		Expect(refusal.Reason).To(Equal(messenger.ReasonOverloaded))
		Expect(refusal.RetryAfter()).To(And(BeNumerically(">", 500*time.Millisecond), BeNumerically("<=", 10*time.Second)))
	})

	It("ignores a malformed limit, and one that has ended", func() {
		service.setLimit("few")
		sendMany("malformed", 20)
		service.setLimit("200")
		sendMany("limited", 1)
		service.setLimit("")
		sendMany("ends", 1)
		b.companion.mu.Lock()
		defer b.companion.mu.Unlock()
		Expect(b.companion.regulator.Limit().Named).To(BeFalse())
	})

	It("forgets the limit of an engine that has restarted", func() {
		b := newBench(generator.Settings{})
		l := newLink(b.companion)
		b.engine.Inject(generator.Faults{RequestLimit: 0.1})
		l.send(b.call("r1", "w/a@1", 2))
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		named := func() bool {
			b.companion.mu.Lock()
			defer b.companion.mu.Unlock()
			return b.companion.regulator.Limit().Named
		}
		Expect(named()).To(BeTrue())
		b.engine.Inject(generator.Faults{Restart: true})
		Eventually(named).WithTimeout(testTimeout).Should(BeFalse())
	})
})
