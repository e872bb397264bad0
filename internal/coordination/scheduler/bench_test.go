package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkQueue measures the cost of one request in a queue with other waiting
// requests.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 16, 250} {
		for _, workspaces := range []int{4, 40} {
			b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", waiting, workspaces), func(b *testing.B) {
				q := NewQueue(Settings{})
				for i := range waiting {
					q.Push(start, Item{Request: fmt.Sprint(i), Workspace: fmt.Sprint(i % workspaces), Tokens: 500}, 0)
				}
				b.ReportAllocs()
				for b.Loop() {
					q.Push(start, Item{Request: "r", Workspace: "w", Tokens: 500}, 0)
					s, _ := q.Next(start, 1, all)
					q.Finish(start, s.Request, 500)
				}
			})
		}
	}
}
