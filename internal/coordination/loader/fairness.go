package loader

import "time"

// workspaceActivity is how lately and how much a workspace asked for.
type workspaceActivity struct {
	activity
	share int
	// finish is the virtual time, in loads for a share of one, at which the
	// workspace's last load counts as done.
	finish float64
}

func (t *Table) activity(v *version) *workspaceActivity {
	a := t.workspaces[v.workspace]
	if a == nil {
		a = &workspaceActivity{}
		t.workspaces[v.workspace] = a
	}
	a.share = v.share
	return a
}

// tag is the virtual time at which the next load of v's workspace begins: loads
// go by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996), so that
// the workspace that asks for few of them goes first.
func (t *Table) tag(v *version) float64 { return max(t.activity(v).finish, t.virtual) }

// charge counts a load against the workspace of v.
func (t *Table) charge(v *version) {
	t.virtual = t.tag(v)
	t.activity(v).finish = t.virtual + 1/float64(v.share)
}

// fairness is the division of the slots among workspaces at one moment.
//
// Without it one workspace that calls hundreds of cold adapters takes every
// slot, and the single call of another workspace stands behind all of them. It
// restrains a workspace only where another one waits: a limit by share alone
// would have a workspace with many hot adapters evict them one for the other
// beside slots that nobody uses.
type fairness struct {
	policy Policy
	slots  int
	// held counts the slots that each workspace holds or has been promised,
	// slotted only those that it holds.
	held    map[string]int
	slotted map[string]int
	// shares are those of the workspaces that wait for slots or use them.
	shares map[string]int
	// starved are the workspaces that wait for a slot.
	starved map[string]bool
	total   int
}

func (t *Table) fairness(now time.Time) fairness {
	f := fairness{
		policy: t.settings.Policy, slots: t.settings.Slots,
		held: map[string]int{}, slotted: map[string]int{}, shares: map[string]int{}, starved: map[string]bool{},
	}
	for name, a := range t.workspaces {
		if a.demandNow(now, t.settings.HalfLife) >= activeDemand {
			f.join(name, a.share)
		}
	}
	for _, v := range t.slotted {
		if v.phase != PhaseEvicting {
			f.held[v.workspace]++
			if v.phase != PhaseEmpty {
				f.slotted[v.workspace]++
			}
		}
		if v.pinned() {
			f.join(v.workspace, v.share)
		}
	}
	for _, v := range t.waiting {
		f.join(v.workspace, v.share)
		if v.phase != PhaseResident && !now.Before(v.retryAt) {
			f.starved[v.workspace] = true
		}
	}
	return f
}

// activeDemand is the demand at which a workspace that neither waits nor runs
// still counts as active: one request within the last two half-lives.
const activeDemand = 0.25

// join counts the workspace among the active ones.
func (f *fairness) join(workspace string, share int) {
	if f.shares[workspace] < share {
		f.total += share - f.shares[workspace]
		f.shares[workspace] = share
	}
}

// most is the number of slots that the workspace may hold: one is left for
// others where others are active.
func (f fairness) most(workspace string) int {
	if f.total == f.shares[workspace] || f.slots == 1 {
		return f.slots
	}
	return f.slots - 1
}

// over tells whether the workspace of v holds more than its share, rounded up,
// while others wait.
func (f fairness) over(v *version) bool {
	others := len(f.starved)
	if f.starved[v.workspace] {
		others--
	}
	if f.policy != PolicyDemand || others == 0 {
		return false
	}
	return f.slotted[v.workspace]*f.total > f.slots*f.shares[v.workspace]+f.total-1
}

// mayGrow tells whether the workspace of v may hold one slot more.
func (f fairness) mayGrow(v *version) bool {
	return f.policy != PolicyDemand || f.held[v.workspace]+f.unheld(v) <= f.most(v.workspace)
}

// unheld is 1 where v itself does not count among the slots held yet.
func (f fairness) unheld(v *version) int {
	if v.permit {
		return 0
	}
	return 1
}

// mayTake tells whether v may take the slot of other: always one of its own
// workspace, else only where it may grow.
func (f fairness) mayTake(v, other *version) bool {
	return v.workspace == other.workspace || f.mayGrow(v)
}
