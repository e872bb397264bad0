package weigher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
)

// fetch requests one transfer after each of the delays. It returns the time until the last
// one has ended, and the statuses.
func fetch(w *weigher.Store, delays ...time.Duration) (time.Duration, []int) {
	began := time.Now()
	statuses := make([]int, len(delays))
	var all sync.WaitGroup
	for i, d := range delays {
		all.Go(func() {
			<-time.After(d)
			answer := httptest.NewRecorder()
			w.Handler().ServeHTTP(answer, httptest.NewRequestWithContext(context.Background(), http.MethodGet, weigher.PathWeights+"a/b@1", nil))
			statuses[i] = answer.Code
		})
	}
	all.Wait()
	return time.Since(began), statuses
}

func TestOneTransferAtFullSpeedSeveralSlower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := weigher.NewStore(weigher.Settings{FullSpeedTime: time.Second})
		defer func() { _ = w.Close() }()
		alone, statuses := fetch(w, 0)
		g.Expect(alone).To(BeNumerically("~", time.Second, time.Microsecond))
		g.Expect(statuses).To(Equal([]int{http.StatusOK}))
		// Two share the link: each runs at 1/(2 × 1.25) of full speed.
		two, _ := fetch(w, 0, 0)
		g.Expect(two).To(BeNumerically("~", 2500*time.Millisecond, time.Microsecond))
		// The first runs alone for half of its time, then both for 1.25 s, then the
		// second alone.
		staggered, _ := fetch(w, 0, 500*time.Millisecond)
		g.Expect(staggered).To(BeNumerically("~", 2250*time.Millisecond, 10*time.Microsecond))
		g.Expect(w.Report().MaxConcurrent).To(Equal(2))
		g.Expect(w.Report().Shared).To(Equal(2))
	})
}

func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		delays := make([]time.Duration, 6)
		slow := weigher.NewStore(weigher.Settings{FullSpeedTime: time.Nanosecond})
		defer func() { _ = slow.Close() }()
		length, _ := fetch(slow, delays...)
		g.Expect(length).To(BeNumerically("~", time.Second, time.Millisecond))
		g.Expect(slow.Report().Delayed).To(Equal(2))
		g.Expect(slow.Report().MaxStartsPerSecond).To(Equal(6))
		strict := weigher.NewStore(weigher.Settings{RefuseOverRate: true})
		defer func() { _ = strict.Close() }()
		_, statuses := fetch(strict, delays...)
		g.Expect(statuses).To(ContainElement(http.StatusTooManyRequests))
		g.Expect(strict.Report().Refused).To(Equal(2))
		g.Expect(strict.Report().Starts).To(Equal(4))
	})
}
