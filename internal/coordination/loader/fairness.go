package loader

import "time"

// workspaceActivity tracks the recent demand and the loads of one workspace.
type workspaceActivity struct {
	activity
	share int
	// finish is the finish tag of the workspace's last load, in virtual time measured
	// in loads for a share of one.
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

// startTag returns the virtual time at which the next load of v's workspace begins.
// Loads are ordered by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996),
// so that a workspace that requests few loads goes first.
func (t *Table) startTag(v *version) float64 { return max(t.activity(v).finish, t.virtual) }

// charge accounts a load to the workspace of v.
func (t *Table) charge(v *version) {
	t.virtual = t.startTag(v)
	t.activity(v).finish = t.virtual + 1/float64(v.share)
}

// fairness is a snapshot of the division of slots among workspaces.
//
// Without it, a workspace that calls hundreds of cold adapters occupies every slot, and
// a single call of another workspace waits behind all of them. A workspace is only
// restrained while others wait: a strict limit by share would make a workspace with
// many hot adapters evict its own adapters while other slots stay unused.
type fairness struct {
	policy Policy
	slots  int
	// held is the number of slots that each workspace holds or has been promised;
	// slotted counts only those that it holds.
	held    map[string]int
	slotted map[string]int
	// shares holds the shares of the workspaces that use slots or wait for them.
	shares map[string]int
	// starved is the set of workspaces that wait for a slot.
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
			f.addActive(name, a.share)
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
			f.addActive(v.workspace, v.share)
		}
	}
	for _, v := range t.waiting {
		f.addActive(v.workspace, v.share)
		if v.phase != PhaseResident && !now.Before(v.retryAt) {
			f.starved[v.workspace] = true
		}
	}
	return f
}

// activeDemand is the demand from which a workspace without waiting or running requests
// still counts as active. It corresponds to one request within the last two half-lives.
const activeDemand = 0.25

// addActive adds the workspace to the active ones.
func (f *fairness) addActive(workspace string, share int) {
	if f.shares[workspace] < share {
		f.total += share - f.shares[workspace]
		f.shares[workspace] = share
	}
}

// maxSlots returns the number of slots that the workspace may hold: all but one if
// other workspaces are active.
func (f fairness) maxSlots(workspace string) int {
	if f.total == f.shares[workspace] || f.slots == 1 {
		return f.slots
	}
	return f.slots - 1
}

// overShare reports whether the workspace of v holds more than its share, rounded up,
// while others wait.
func (f fairness) overShare(v *version) bool {
	others := len(f.starved)
	if f.starved[v.workspace] {
		others--
	}
	if f.policy != PolicyDemand || others == 0 {
		return false
	}
	return f.slotted[v.workspace]*f.total > f.slots*f.shares[v.workspace]+f.total-1
}

// mayGrow reports whether the workspace of v may hold one more slot.
func (f fairness) mayGrow(v *version) bool {
	return f.policy != PolicyDemand || f.held[v.workspace]+f.unheld(v) <= f.maxSlots(v.workspace)
}

// unheld returns 1 if v is not counted in held yet, and 0 otherwise.
func (f fairness) unheld(v *version) int {
	if v.permit {
		return 0
	}
	return 1
}

// mayReplace reports whether v may take the slot of other: always within its own
// workspace, otherwise only if its workspace may grow.
func (f fairness) mayReplace(v, other *version) bool {
	return v.workspace == other.workspace || f.mayGrow(v)
}
