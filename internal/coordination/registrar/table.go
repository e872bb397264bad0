package registrar

import (
	"cmp"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Defaults of Settings.
const (
	DefaultLease      = 3 * time.Second
	DefaultStormShare = 0.5
	DefaultStormLeast = 3
)

// silentParts is the part of a lease, as its divisor, without word from a
// member after which the member counts as silent for the storm guard.
// Companions renew several times within it.
const silentParts = 2

// Settings are the options of a Table.
type Settings struct {
	// Lease is the time without renewal after which a membership ends;
	// DefaultLease by default.
	Lease time.Duration

	// TickGap is the longest time between two calls of Tick after which the
	// table still trusts that it saw all renewals; a third of Lease by default.
	TickGap time.Duration

	// StormShare is the share of a failure domain's members, from 0 to 1, above
	// which members that fall silent together are held back for one further
	// lease; DefaultStormShare by default.
	StormShare float64

	// StormLeast is the number of silent members of a failure domain under
	// which nothing is held back; DefaultStormLeast by default.
	StormLeast int
}

func (s Settings) withDefaults() Settings {
	s.Lease = cmp.Or(s.Lease, DefaultLease)
	s.TickGap = cmp.Or(s.TickGap, s.Lease/3)
	s.StormShare = cmp.Or(s.StormShare, DefaultStormShare)
	s.StormLeast = cmp.Or(s.StormLeast, DefaultStormLeast)
	return s
}

// Membership is a member as the table needs to know it.
type Membership struct {
	Name          string
	Epoch         uint64
	FailureDomain string
}

type entry struct {
	Membership

	// renewed is when the lease was last renewed or extended. It never goes
	// back.
	renewed time.Time
	// held tells that the storm guard has already spent its one extension
	// since the last renewal.
	held bool
}

// Table is the leader's list of leases. Only the leader has one, and it makes a
// new one each time it is elected.
type Table struct {
	settings Settings
	members  map[string]*entry
	// lastTick is the time of the last Tick.
	lastTick time.Time
}

// NewTable returns the table of a leader elected at now over the memberships
// in the replicated state.
//
// Every lease starts anew with its full term. The former leader's table is
// lost with it; a new leader that took old renewals for missing would expire
// every backend server at once, seen as refused calls after each election.
func NewTable(s Settings, now time.Time, members []Membership) *Table {
	t := &Table{settings: s.withDefaults(), members: make(map[string]*entry, len(members)), lastTick: now}
	for _, m := range members {
		t.Begin(now, m)
	}
	return t
}

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.members) }

// Begin starts or replaces the lease of a membership that the replicated state
// has taken in. A membership with a lower epoch than the known one is ignored.
func (t *Table) Begin(now time.Time, m Membership) {
	if e, ok := t.members[m.Name]; ok {
		if m.Epoch <= e.Epoch {
			return
		}
	}
	t.members[m.Name] = &entry{Membership: m, renewed: now}
}

// End drops the lease of a membership that the replicated state has ended. A
// later membership under the same name is left alone.
func (t *Table) End(name string, epoch uint64) {
	if e, ok := t.members[name]; ok && e.Epoch <= epoch {
		delete(t.members, name)
	}
}

// Renew extends the leases in a batch, and returns those that are not members
// any more.
//
// A renewal with an older epoch comes from a companion that was replaced while
// it was frozen or cut off. Were it to renew, the successor's lease would be
// kept alive by a process that is not the member; so it is told Void and joins
// again, under a new epoch. A renewal with a newer epoch than the table's is
// neither: the table has not yet seen the committed join.
func (t *Table) Renew(now time.Time, leases []LeaseRenewal) (void []storer.MemberEpoch) {
	for _, l := range leases {
		e, ok := t.members[l.Name]
		switch {
		case ok && e.Epoch == l.Epoch:
			if now.After(e.renewed) {
				e.renewed = now
			}
			e.held = false
		case !ok || l.Epoch < e.Epoch:
			void = append(void, storer.MemberEpoch{Name: l.Name, Epoch: l.Epoch})
		}
	}
	return void
}

// Tick returns the memberships whose leases have run out, sorted by name, for
// one batched ExpireMembers command. They stay in the table until End, so that
// a proposal that failed is made again by the next Tick.
//
// A leader that did not run for longer than TickGap extends every lease by a
// full term: the renewals of that time lie unread in its sockets or went
// nowhere, so silence proves nothing.
func (t *Table) Tick(now time.Time) []storer.MemberEpoch {
	frozen := now.Sub(t.lastTick) > t.settings.TickGap
	t.lastTick = now
	if frozen {
		for _, e := range t.members {
			e.renewed = now
		}
		return nil
	}
	var due []*entry
	for _, e := range t.members {
		if now.Sub(e.renewed) >= t.settings.Lease {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return nil
	}
	storms := t.storms(now)
	var expired []storer.MemberEpoch
	for _, e := range due {
		if storms[e.FailureDomain] && !e.held {
			e.held = true
			e.renewed = now
			continue
		}
		expired = append(expired, storer.MemberEpoch{Name: e.Name, Epoch: e.Epoch})
	}
	slices.SortFunc(expired, func(a, b storer.MemberEpoch) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}

// storms returns the failure domains in which so many members are silent that
// a cut between them and the control hosts is likelier than their deaths.
//
// Members that a cut silences don't expire in the same tick, since each last
// renewed at its own time. The guard therefore counts all that have been silent
// for half a lease, and not those that are due.
func (t *Table) storms(now time.Time) map[string]bool {
	type count struct{ all, silent int }
	counts := make(map[string]count)
	for _, e := range t.members {
		c := counts[e.FailureDomain]
		c.all++
		if e.held || now.Sub(e.renewed) >= t.settings.Lease/silentParts {
			c.silent++
		}
		counts[e.FailureDomain] = c
	}
	storms := make(map[string]bool)
	for domain, c := range counts {
		if c.silent >= t.settings.StormLeast && float64(c.silent) > t.settings.StormShare*float64(c.all) {
			storms[domain] = true
		}
	}
	return storms
}
