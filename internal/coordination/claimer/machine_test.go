package claimer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/claimer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func identity(holder string) claimer.Identity {
	return claimer.Identity{Workspace: "town", Key: "k", Digest: []byte("d"), Holder: holder}
}

func held(state storer.ClaimState, age time.Duration, kept string) storer.Result {
	return storer.Result{Verdict: storer.VerdictHeld, Claim: &storer.Claim{
		Holder: "other", State: state, Backend: "b", Request: kept, Time: storer.InstantOf(start.Add(-age)),
	}}
}

var _ = Describe("Machine", func() {
	DescribeTable("answers a claim that another holder has",
		func(r storer.Result, want claimer.Step) {
			m := claimer.NewMachine(claimer.Settings{}, identity("me"), start.Add(time.Minute))
			Expect(m.ProposalAnswered(start, r)).To(Equal(want))
		},
		Entry("in progress", held(storer.ClaimStateClaimed, time.Second, ""), claimer.Refuse{Reason: claimer.ReasonInProgress}),
		Entry("held for longer than MaxLife", held(storer.ClaimStateClaimed, time.Hour, ""), claimer.Refuse{Reason: claimer.ReasonOutcomeUnknown}),
		Entry("unknown", held(storer.ClaimStateUnknown, 0, ""), claimer.Refuse{Reason: claimer.ReasonOutcomeUnknown}),
		Entry("done", held(storer.ClaimStateDone, 0, "r#2"), claimer.FetchRetained{Backend: "b", RetainedAnswer: claimer.RetainedAnswer{Request: "r", Attempt: 2}}),
		Entry("done without a retained answer", held(storer.ClaimStateDone, 0, ""), claimer.Refuse{Reason: claimer.ReasonOutcomeUnknown}),
		Entry("different body", storer.Result{Verdict: storer.VerdictKeyReused}, claimer.Refuse{Reason: claimer.ReasonKeyReused}),
	)

	It("panics when a call is dispatched without the claim", func() {
		m := claimer.NewMachine(claimer.Settings{}, identity("me"), start.Add(time.Minute))
		Expect(m.MarkDispatched).To(Panic())
		m.ProposalFailed(start, false)
		Expect(m.MarkDispatched).To(Panic())
		Expect(m.Abandon()).To(Equal(claimer.Refuse{Reason: claimer.ReasonNoClaim, Release: true}))
	})
})

// testHolder is one holder in the property test below.
type testHolder struct {
	machine *claimer.Machine
	ran     bool
}

// TestPropertyAtMostOnce runs random schedules of holders with the same key, whose proposals and
// answers are lost, delayed or duplicated, against the real state machine. The call must run at
// most once and never without the claim, and only a holder that did not run it may release the
// claim.
func TestPropertyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := storer.NewStore(storer.Settings{})
		index, now, runs := uint64(0), start, 0
		var late []storer.Command
		apply := func(c storer.Command) storer.Result {
			data, err := storer.Encode(storer.Envelope{Time: storer.InstantOf(now), Command: c})
			if err != nil {
				t.Fatal(err)
			}
			index++
			return store.Apply(index, data).(storer.Result)
		}
		holders := make([]*testHolder, 3)
		for i := range holders {
			holders[i] = &testHolder{machine: claimer.NewMachine(claimer.Settings{}, identity(fmt.Sprint("h", i)), start.Add(2*time.Second))}
		}
		settle := func(h *testHolder, c storer.SettleClaim) {
			if c.State == storer.ClaimStateReleased && h.ran {
				t.Fatalf("claim released after the call ran")
			}
			late = append(late, c)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "passed")) * time.Millisecond)
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				apply(late[i])
				if rapid.Bool().Draw(t, "once") {
					late = append(late[:i], late[i+1:]...)
				}
				continue
			}
			h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			var step claimer.Step
			switch h.machine.Phase() {
			case claimer.PhaseProposing:
				c := h.machine.Identity().Command()
				switch rapid.IntRange(0, 3).Draw(t, "proposal") {
				case 0: // The proposal is lost or arrives later.
					late = append(late, c)
					step = h.machine.ProposalFailed(now, false)
				case 1: // The answer is lost.
					apply(c)
					step = h.machine.ProposalFailed(now, false)
				case 2:
					step = h.machine.ProposalFailed(now, true)
				default:
					step = h.machine.ProposalAnswered(now, apply(c))
				}
			case claimer.PhaseHeld:
				if rapid.Bool().Draw(t, "dispatch") {
					h.machine.MarkDispatched()
					continue
				}
				settle(h, h.machine.SettleCommand(true, false, "", claimer.RetainedAnswer{}))
			case claimer.PhaseDispatched:
				// A companion may report that the call did not run, completed, or has an unknown
				// outcome.
				switch rapid.IntRange(0, 2).Draw(t, "ending") {
				case 0:
					settle(h, h.machine.SettleCommand(true, false, "", claimer.RetainedAnswer{}))
				case 1:
					h.ran = true
					runs++
					settle(h, h.machine.SettleCommand(false, true, "b", claimer.RetainedAnswer{Request: "r", Attempt: 1}))
				default:
					h.ran = true
					runs++
					settle(h, h.machine.SettleCommand(false, false, "", claimer.RetainedAnswer{}))
				}
			case claimer.PhaseEnded:
			}
			if r, ok := step.(claimer.Refuse); ok && r.Release {
				settle(h, h.machine.ReleaseCommand())
			}
			if runs > 1 {
				t.Fatalf("call ran %d times", runs)
			}
		}
	})
}
