package loader

import "time"

// workspaceActivity is how lately a workspace asked for anything.
type workspaceActivity struct {
	activity
	share int
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

// fairness is the division of the slots among workspaces at one moment.
//
// Without it one workspace that calls hundreds of cold adapters takes every
// slot and every load, and the single call of another workspace stands behind
// all of them.
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

// limit is the number of slots that the workspace may hold: all of them where
// it is alone, all but one where others are active, its share rounded up where
// others wait.
func (f fairness) limit(workspace string) int {
	share := f.shares[workspace]
	if f.total == share || f.slots == 1 {
		return f.slots
	}
	others := len(f.starved)
	if f.starved[workspace] {
		others--
	}
	if others == 0 {
		return f.slots - 1
	}
	return min(f.slots-1, max(1, (f.slots*share+f.total-1)/f.total))
}

// load is the part of its share that the workspace of v holds.
func (f fairness) load(v *version) float64 {
	return float64(f.held[v.workspace]) / float64(v.share)
}

// over tells whether the workspace of v holds more than its limit.
func (f fairness) over(v *version) bool {
	return f.policy == PolicyDemand && f.slotted[v.workspace] > f.limit(v.workspace)
}

// mayGrow tells whether the workspace of v may hold one slot more.
func (f fairness) mayGrow(v *version) bool {
	return f.policy != PolicyDemand || f.held[v.workspace]+f.unheld(v) <= f.limit(v.workspace)
}

// unheld is 1 where v itself does not count among the slots held yet.
func (f fairness) unheld(v *version) int {
	if v.permit {
		return 0
	}
	return 1
}

// mayTake tells whether v may take the slot of other: always one of its own
// workspace, else only within its limit.
func (f fairness) mayTake(v, other *version) bool {
	return v.workspace == other.workspace || f.mayGrow(v)
}
