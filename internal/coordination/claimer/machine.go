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

// Settings are the options of a claim's machine. The zero value of a field
// means its documented default.
type Settings struct {
	// InitialWait is the wait before a proposal is repeated; it doubles up to
	// MaxWait.
	InitialWait time.Duration
	MaxWait     time.Duration
	// MaxLife is the longest time that a call can be in progress. A claim that
	// has been held longer belongs to a holder that was lost.
	MaxLife time.Duration
}

//go:generate stringer -type=Phase -trimprefix=Phase

// Phase tells how far a machine has come.
type Phase int

// The phases.
const (
	// PhaseProposing has not heard whether it holds the claim.
	PhaseProposing Phase = iota
	// PhaseHeld holds the claim and has not dispatched.
	PhaseHeld
	// PhaseDispatched holds the claim and may have dispatched.
	PhaseDispatched
	// PhaseEnded is done with the claim.
	PhaseEnded
)

// Machine is the state machine of one call's claim at one entry. It is not safe
// for concurrent use.
type Machine struct {
	settings Settings
	identity Identity
	deadline time.Time
	phase    Phase
	// proposals counts the proposals that failed.
	proposals int
	// doubt is true from the first proposal whose outcome is unknown until the
	// claim is known to be held or not.
	doubt bool
}

// NewMachine returns the machine of a claim not proposed yet.
func NewMachine(s Settings, i Identity, deadline time.Time) *Machine {
	s.InitialWait = cmp.Or(s.InitialWait, DefaultInitialWait)
	s.MaxWait = cmp.Or(s.MaxWait, DefaultMaxWait)
	s.MaxLife = cmp.Or(s.MaxLife, DefaultMaxLife)
	return &Machine{settings: s, identity: i, deadline: deadline}
}

// Phase returns how far the machine has come.
func (m *Machine) Phase() Phase { return m.phase }

// Identity returns the claim's identity.
func (m *Machine) Identity() Identity { return m.identity }

// ProposalAnswered takes in the state machine's answer to a proposal.
func (m *Machine) ProposalAnswered(now time.Time, r storer.Result) Step {
	if m.phase != PhaseProposing {
		panic("claimer: ProposalAnswered after the proposal was decided")
	}
	switch r.Verdict {
	case storer.VerdictAccepted:
		if !m.mine(r.Claim) {
			return m.refuse(ReasonOutcomeUnknown)
		}
		if !now.Before(m.deadline) {
			m.phase = PhaseHeld
			return m.refuse(ReasonNoClaim)
		}
		m.phase, m.doubt = PhaseHeld, false
		return Dispatch{}
	case storer.VerdictHeld:
		m.doubt = false
		return m.held(now, r.Claim)
	case storer.VerdictKeyReused:
		m.doubt = false
		return m.refuse(ReasonKeyReused)
	case storer.VerdictInvalid:
		return m.refuse(ReasonInvalid)
	default:
		return m.refuse(ReasonNoClaim)
	}
}

// mine reports whether an accepted claim is one that this holder may dispatch
// under. The state machine accepts a claim from its holder again only while it
// is Claimed; anything else would be a second run.
func (m *Machine) mine(c *storer.Claim) bool {
	return c != nil && c.Holder == m.identity.Holder && c.State == storer.ClaimStateClaimed
}

// held answers a claim that another holder has, or had.
func (m *Machine) held(now time.Time, c *storer.Claim) Step {
	if c == nil {
		return m.refuse(ReasonOutcomeUnknown)
	}
	switch c.State {
	case storer.ClaimStateDone:
		kept, err := ParseRetainedAnswer(c.Request)
		if err != nil || c.Backend == "" {
			return m.refuse(ReasonOutcomeUnknown)
		}
		m.phase = PhaseEnded
		return FetchRetained{Backend: c.Backend, RetainedAnswer: kept}
	case storer.ClaimStateClaimed:
		// The entry that held it may be lost, and then nobody settles it. The
		// call may have run; after the longest life of a call there is nothing
		// in progress any more, and saying so would be untrue.
		if now.Sub(c.Time.Time()) > m.settings.MaxLife {
			return m.refuse(ReasonOutcomeUnknown)
		}
		return m.refuse(ReasonInProgress)
	default:
		return m.refuse(ReasonOutcomeUnknown)
	}
}

// ProposalFailed takes in a proposal without an answer. It is certain if the claim was
// certainly not accepted. The same holder proposes again: for the holder of a
// claim a proposal is idempotent.
func (m *Machine) ProposalFailed(now time.Time, certain bool) Step {
	if m.phase != PhaseProposing {
		panic("claimer: ProposalFailed after the proposal was decided")
	}
	m.doubt = m.doubt || !certain
	wait := min(m.settings.InitialWait<<min(m.proposals, 20), m.settings.MaxWait)
	m.proposals++
	if !now.Add(wait).Before(m.deadline) {
		return m.refuse(ReasonNoClaim)
	}
	return ProposeAgain{Wait: wait}
}

// Abandon ends the claim of a call that is given up before it was dispatched.
func (m *Machine) Abandon() Refuse {
	if m.phase == PhaseDispatched {
		panic("claimer: Abandon after MarkDispatched")
	}
	return m.refuse(ReasonNoClaim)
}

// refuse ends the machine. The claim is released where it is held or may be:
// its holder didn't dispatch and never will.
func (m *Machine) refuse(r Reason) Refuse {
	release := m.phase == PhaseHeld || m.doubt
	m.phase = PhaseEnded
	return Refuse{Reason: r, Release: release}
}

// MarkDispatched notes that the call is about to be handed to a companion. It panics
// unless the claim is held: a call that nobody claimed must not run.
func (m *Machine) MarkDispatched() {
	if m.phase != PhaseHeld && m.phase != PhaseDispatched {
		panic("claimer: MarkDispatched without the claim")
	}
	m.phase = PhaseDispatched
}

// ReleaseCommand returns the command that gives the claim back.
func (m *Machine) ReleaseCommand() storer.SettleClaim {
	return m.settle(storer.ClaimStateReleased)
}

// SettleCommand returns the command that settles a dispatched call. The claim is
// released only when every attempt is known not to have run, done only when the
// whole answer was seen, and unknown otherwise.
func (m *Machine) SettleCommand(notRun, completed bool, backend string, kept RetainedAnswer) storer.SettleClaim {
	if m.phase != PhaseDispatched && m.phase != PhaseHeld {
		panic("claimer: SettleCommand without the claim")
	}
	never := m.phase == PhaseHeld
	m.phase = PhaseEnded
	switch {
	case completed:
		c := m.settle(storer.ClaimStateDone)
		c.Backend, c.Request = backend, kept.String()
		return c
	case notRun || never:
		return m.settle(storer.ClaimStateReleased)
	default:
		return m.settle(storer.ClaimStateUnknown)
	}
}

func (m *Machine) settle(s storer.ClaimState) storer.SettleClaim {
	i := m.identity
	return storer.SettleClaim{Workspace: i.Workspace, Key: i.Key, Holder: i.Holder, State: s}
}
