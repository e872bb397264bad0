package spacer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/spacer"
)

var start = time.Unix(1000, 0)

// TestSpacesLongPrompts guards against streams that pause for too long while two long prompts
// are prefilled one after the other.
func TestSpacesLongPrompts(t *testing.T) {
	g := NewWithT(t)
	s := spacer.Spacer{MaxEventGap: 400 * time.Millisecond}
	const long, short = 210 * time.Millisecond, 20 * time.Millisecond
	g.Expect(s.Start(start, long)).To(Equal(start))
	s.Record(start, long)
	g.Expect(s.Start(start, short)).To(Equal(start), "it fits into the run")
	next := s.Start(start, long)
	g.Expect(next).To(Equal(start.Add(long + spacer.Pause)))
	g.Expect(s.Start(next, long)).To(Equal(next))
	s.Record(next, long)
	g.Expect(s.Backlog(next)).To(Equal(long))
}

func TestStartsAtOnce(t *testing.T) {
	g := NewWithT(t)
	var unlimited spacer.Spacer
	unlimited.Record(start, time.Second)
	g.Expect(unlimited.Start(start, time.Second)).To(Equal(start), "no gap is configured")
	s := spacer.Spacer{MaxEventGap: 400 * time.Millisecond}
	g.Expect(s.Start(start, time.Hour)).To(Equal(start), "a prompt longer than any run")
}

// TestPropertyRuns checks that no run of prompts is longer than allowed unless one prompt alone
// is, and that a prompt waits no longer than for the end of the run.
func TestPropertyRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gap = 400 * time.Millisecond
		s := spacer.Spacer{MaxEventGap: gap}
		now := start
		// runStart, end and prompts describe the current run.
		runStart, end, prompts := now, now.Add(-time.Hour), 0
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			prefill := time.Duration(rapid.IntRange(1, 500).Draw(t, "prefill")) * time.Millisecond
			at := s.Start(now, prefill)
			if at.Before(now) || at.After(now) && at.After(end.Add(spacer.Pause)) {
				t.Fatalf("starts at %v, the run ends at %v", at, end)
			}
			now = at
			s.Record(now, prefill)
			if now.Sub(end) >= spacer.Pause {
				runStart, end, prompts = now, now, 0
			}
			if end.Before(now) {
				end = now
			}
			end, prompts = end.Add(prefill), prompts+1
			if prompts > 1 && end.Sub(runStart) > gap {
				t.Fatalf("a run of %d prompts takes %v", prompts, end.Sub(runStart))
			}
		}
	})
}
