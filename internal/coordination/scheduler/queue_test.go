package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A queue", func() {
	It("serves a quiet call ahead of a rush", func() {
		// Guards against a single lookup waiting behind a batch of another workspace:
		// 200 calls of the batch wait when the lookup arrives. The fault was a single
		// queue in order of arrival.
		q := NewQueue(Settings{})
		for i := range 180 {
			Expect(q.Push(start, Item{Request: fmt.Sprint(i), Workspace: "rush", Tokens: 500}, 0)).To(BeEmpty())
		}
		for range 10 {
			q.Next(start, 1, all)
		}
		q.Push(start, Item{Request: "quiet", Workspace: "quiet", Tokens: 500}, 0)
		for i := range 3 {
			if s, _ := q.Next(start, 1, all); s.Request == "quiet" {
				Expect(i).To(BeNumerically("<", 2))
				return
			}
		}
		Fail("quiet call was not served")
	})

	It("charges actual tokens, not a workspace's own estimates", func() {
		// Guards against a workspace getting several times its share because its calls
		// are estimated at 100 tokens and take 1000. The fault was that the queue did
		// not use the actual count.
		q := NewQueue(Settings{})
		served := map[string]int64{}
		counts := map[string]int64{"honest": 100, "low": 1000}
		next := 0
		for range 3000 {
			for w := range counts {
				for f := q.flows[w]; f == nil || len(f.items) < 3; f = q.flows[w] {
					next++
					q.Push(start, Item{Request: fmt.Sprint(next), Workspace: w, Tokens: 100}, 0)
				}
			}
			s, _ := q.Next(start, 1, all)
			served[s.Workspace] += counts[s.Workspace]
			q.Finish(start, s.Request, counts[s.Workspace])
		}
		Expect(float64(served["low"]) / float64(served["honest"])).To(BeNumerically("~", 1, 0.05))
	})

	It("refuses items that cannot meet their deadline, but none before the rate is known", func() {
		q := NewQueue(Settings{RateWindow: time.Second})
		due := Item{Request: "due", Workspace: "w", Tokens: 10, Deadline: start.Add(10 * time.Second)}
		for i := range 20 {
			q.Push(start, Item{Request: fmt.Sprint(i), Workspace: "w", Tokens: 100}, 0)
		}
		Expect(q.Push(start, due, 0)).To(BeEmpty())
		q.Remove("due")
		now := start
		for i := range 3 {
			s, _ := q.Next(now, 1, all)
			Expect(s.Request).To(Equal(fmt.Sprint(i)))
			now = now.Add(time.Second)
			q.Finish(now, s.Request, 100)
		}
		refused := q.Push(now, due, 0)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Cause).To(Equal(CauseDeadline))
		Expect(refused[0].RetryAfter).To(BeNumerically(">", 7*time.Second))
		due.Deadline = now.Add(time.Hour)
		Expect(q.Push(now, due, 0)).To(BeEmpty())
	})

	It("counts as stalled only the time during which the batch had a place", func() {
		q := NewQueue(Settings{})
		none := func(Item) bool { return false }
		q.Push(start, Item{Request: "r", Workspace: "w", Version: "w/a@1"}, 0)
		at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
		q.Next(at(0), 0, none)
		q.Next(at(3), 1, none)
		q.Next(at(5), 0, none)
		q.Next(at(9), 1, none)
		s, ok := q.Next(at(10), 1, all)
		Expect(ok).To(BeTrue())
		Expect(s.Stalled).To(Equal(3 * time.Second))
		Expect(s.Queued).To(Equal(7 * time.Second))
	})
})
