package claimer

import (
	"cmp"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Defaults of Settings.
const (
	DefaultInitialWait = 20 * time.Millisecond
	DefaultMaxWait     = 500 * time.Millisecond
	DefaultMaxLife     = 10 * time.Minute
)

// Settings are the options of a Machine. The zero value of a field means its documented default.
type Settings struct {
	// InitialWait is the wait before a failed proposal is repeated. It doubles with each failure,
	// up to MaxWait.
	InitialWait time.Duration
	MaxWait     time.Duration
	// MaxLife is the maximum time for which a call can be in progress. A claim held for longer
	// belongs to a holder that has failed.
	MaxLife time.Duration
}

//go:generate stringer -type=Phase -trimprefix=Phase

// Phase is the phase of a Machine.
type Phase int

// The phases.
const (
	// PhaseProposing means that it is not known yet whether the claim is held.
	PhaseProposing Phase = iota
	// PhaseHeld means that the claim is held and the call was not dispatched.
	PhaseHeld
	// PhaseDispatched means that the claim is held and the call may have been dispatched.
	PhaseDispatched
	// PhaseEnded means that the machine has finished.
	PhaseEnded
)

// Machine is the state machine of one call's claim at one entry. It is not safe
// for concurrent use.
type Machine struct {
	settings Settings
	identity Identity
	deadline time.Time
	phase    Phase
	// failedProposals is the number of failed proposals.
	failedProposals int
	// mayBeCommitted is set from the first proposal with unknown outcome until it is known whether
	// the claim is held.
	mayBeCommitted bool
}

// NewMachine returns a machine for a claim that has not been proposed yet.
func NewMachine(s Settings, i Identity, deadline time.Time) *Machine {
	s.InitialWait = cmp.Or(s.InitialWait, DefaultInitialWait)
	s.MaxWait = cmp.Or(s.MaxWait, DefaultMaxWait)
	s.MaxLife = cmp.Or(s.MaxLife, DefaultMaxLife)
	return &Machine{settings: s, identity: i, deadline: deadline}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Identity returns the claim's identity.
func (m *Machine) Identity() Identity { return m.identity }

// ProposalAnswered handles the replicated state machine's answer to a proposal. It panics if the
// proposal has already been decided.
func (m *Machine) ProposalAnswered(now time.Time, r storer.Result) Step {
	if m.phase != PhaseProposing {
		panic("claimer: ProposalAnswered after the proposal was decided")
	}
	switch r.Verdict {
	case storer.VerdictAccepted:
		if !m.mayDispatch(r.Claim) {
			return m.refuse(ReasonOutcomeUnknown)
		}
		if !now.Before(m.deadline) {
			m.phase = PhaseHeld
			return m.refuse(ReasonNoClaim)
		}
		m.phase, m.mayBeCommitted = PhaseHeld, false
		return Dispatch{}
	case storer.VerdictHeld:
		m.mayBeCommitted = false
		return m.answerHeld(now, r.Claim)
	case storer.VerdictKeyReused:
		m.mayBeCommitted = false
		return m.refuse(ReasonKeyReused)
	case storer.VerdictInvalid:
		return m.refuse(ReasonInvalid)
	default:
		return m.refuse(ReasonNoClaim)
	}
}

// mayDispatch reports whether this holder may dispatch under an accepted claim. The replicated
// state machine accepts a repeated claim of the same holder only while its state is Claimed; in any
// other state a dispatch would be a second run.
func (m *Machine) mayDispatch(c *storer.Claim) bool {
	return c != nil && c.Holder == m.identity.Holder && c.State == storer.ClaimStateClaimed
}

// answerHeld answers a call whose claim another holder has, or had.
func (m *Machine) answerHeld(now time.Time, c *storer.Claim) Step {
	if c == nil {
		return m.refuse(ReasonOutcomeUnknown)
	}
	switch c.State {
	case storer.ClaimStateDone:
		answer, err := ParseRetainedAnswer(c.Request)
		if err != nil || c.Backend == "" {
			return m.refuse(ReasonOutcomeUnknown)
		}
		m.phase = PhaseEnded
		return FetchRetained{Backend: c.Backend, RetainedAnswer: answer}
	case storer.ClaimStateClaimed:
		// The entry that holds the claim may have failed, and then the claim is never settled. The
		// call may have run. After MaxLife no call can still be in progress, so that
		// ReasonInProgress would be wrong.
		if now.Sub(c.Time.Time()) > m.settings.MaxLife {
			return m.refuse(ReasonOutcomeUnknown)
		}
		return m.refuse(ReasonInProgress)
	default:
		return m.refuse(ReasonOutcomeUnknown)
	}
}

// ProposalFailed handles a proposal without an answer. certain is set if the claim was certainly
// not accepted. The same holder proposes again, which is idempotent. It panics if the proposal has
// already been decided.
func (m *Machine) ProposalFailed(now time.Time, certain bool) Step {
	if m.phase != PhaseProposing {
		panic("claimer: ProposalFailed after the proposal was decided")
	}
	m.mayBeCommitted = m.mayBeCommitted || !certain
	wait := min(m.settings.InitialWait<<min(m.failedProposals, 20), m.settings.MaxWait)
	m.failedProposals++
	if !now.Add(wait).Before(m.deadline) {
		return m.refuse(ReasonNoClaim)
	}
	return ProposeAgain{Wait: wait}
}

// Abandon ends the claim of a call that is canceled before its dispatch. It panics after
// MarkDispatched.
func (m *Machine) Abandon() Refuse {
	if m.phase == PhaseDispatched {
		panic("claimer: Abandon after MarkDispatched")
	}
	return m.refuse(ReasonNoClaim)
}

// refuse ends the machine. The claim is released if it is, or may be, held: this holder has not
// dispatched the call and never will.
func (m *Machine) refuse(r Reason) Refuse {
	release := m.phase == PhaseHeld || m.mayBeCommitted
	m.phase = PhaseEnded
	return Refuse{Reason: r, Release: release}
}

// MarkDispatched records that the call is about to be sent to a companion. It panics unless the
// claim is held: a call without a claim must not run.
func (m *Machine) MarkDispatched() {
	if m.phase != PhaseHeld && m.phase != PhaseDispatched {
		panic("claimer: MarkDispatched without a held claim")
	}
	m.phase = PhaseDispatched
}

// ReleaseCommand returns the command that releases the claim.
func (m *Machine) ReleaseCommand() storer.SettleClaim {
	return m.settleWith(storer.ClaimStateReleased)
}

// SettleCommand returns the command that settles a dispatched call. The claim is settled as
// Released only if all attempts are known not to have run, as Done only if the complete answer was
// received, and as Unknown otherwise. It panics unless the claim is held.
func (m *Machine) SettleCommand(notRun, completed bool, backend string, answer RetainedAnswer) storer.SettleClaim {
	if m.phase != PhaseDispatched && m.phase != PhaseHeld {
		panic("claimer: SettleCommand without a held claim")
	}
	undispatched := m.phase == PhaseHeld
	m.phase = PhaseEnded
	switch {
	case completed:
		c := m.settleWith(storer.ClaimStateDone)
		c.Backend, c.Request = backend, answer.String()
		return c
	case notRun || undispatched:
		return m.settleWith(storer.ClaimStateReleased)
	default:
		return m.settleWith(storer.ClaimStateUnknown)
	}
}

func (m *Machine) settleWith(s storer.ClaimState) storer.SettleClaim {
	i := m.identity
	return storer.SettleClaim{Workspace: i.Workspace, Key: i.Key, Holder: i.Holder, State: s}
}
