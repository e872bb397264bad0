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

// silentLeaseDivisor defines the share of a lease without renewal after which a member counts as
// silent for the mass-expiry guard. Companions renew several times within it.
const silentLeaseDivisor = 2

// Settings are the options of a Table.
type Settings struct {
	// Lease is the time without renewal after which a membership ends; 0 means DefaultLease.
	Lease time.Duration

	// TickGap is the longest interval between two calls of Tick for which the table assumes that it
	// has received all renewals; 0 means a third of Lease.
	TickGap time.Duration

	// StormShare is the share of a failure domain's members, from 0 to 1, above which members that
	// are silent together get one further lease before they expire; 0 means DefaultStormShare.
	StormShare float64

	// StormLeast is the number of silent members in a failure domain below which none gets a
	// further lease; 0 means DefaultStormLeast.
	StormLeast int
}

func (s Settings) withDefaults() Settings {
	s.Lease = cmp.Or(s.Lease, DefaultLease)
	s.TickGap = cmp.Or(s.TickGap, s.Lease/3)
	s.StormShare = cmp.Or(s.StormShare, DefaultStormShare)
	s.StormLeast = cmp.Or(s.StormLeast, DefaultStormLeast)
	return s
}

// Membership describes a member for a Table.
type Membership struct {
	Name          string
	Epoch         uint64
	FailureDomain string
}

type tableEntry struct {
	Membership

	// renewed is the time at which the lease was last renewed or extended. It never decreases.
	renewed time.Time
	// extended is set if the mass-expiry guard has used its one extension since the last renewal.
	extended bool
}

// Table holds the leases at the leader, which creates a new Table after each election.
type Table struct {
	settings Settings
	members  map[string]*tableEntry
	// lastTick is the time of the last Tick.
	lastTick time.Time
}

// NewTable returns the table of a leader elected at now, for the memberships in the replicated
// state.
//
// Every lease starts with its full duration, because the previous leader's table is lost. If a new
// leader counted the renewals that it never received as missing, all backend servers would expire
// at once and calls would be refused after each election.
func NewTable(s Settings, now time.Time, members []Membership) *Table {
	t := &Table{settings: s.withDefaults(), members: make(map[string]*tableEntry, len(members)), lastTick: now}
	for _, m := range members {
		t.Begin(now, m)
	}
	return t
}

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.members) }

// Begin starts or replaces the lease of a membership that has been committed. A membership whose
// epoch is not higher than the known one is ignored.
func (t *Table) Begin(now time.Time, m Membership) {
	if e, ok := t.members[m.Name]; ok {
		if m.Epoch <= e.Epoch {
			return
		}
	}
	t.members[m.Name] = &tableEntry{Membership: m, renewed: now}
}

// End drops the lease of a membership whose end has been committed. A later membership of the same
// name is kept.
func (t *Table) End(name string, epoch uint64) {
	if e, ok := t.members[name]; ok && e.Epoch <= epoch {
		delete(t.members, name)
	}
}

// Renew extends the leases in a batch, and returns those whose memberships have ended.
//
// A renewal with an older epoch comes from a companion that was replaced while it was suspended or
// cut off. If it counted, a process that is not the member would keep its successor's lease alive.
// It gets Void instead and joins again under a new epoch. A renewal with an epoch newer than the
// table's is neither counted nor void: the table has not processed the committed join yet.
func (t *Table) Renew(now time.Time, leases []LeaseRenewal) (void []storer.MemberEpoch) {
	for _, l := range leases {
		e, ok := t.members[l.Name]
		switch {
		case ok && e.Epoch == l.Epoch:
			if now.After(e.renewed) {
				e.renewed = now
			}
			e.extended = false
		case !ok || l.Epoch < e.Epoch:
			void = append(void, storer.MemberEpoch{Name: l.Name, Epoch: l.Epoch})
		}
	}
	return void
}

// Tick returns the memberships whose leases have expired, sorted by name, for one batched
// ExpireMembers command. They stay in the table until End, so that the next Tick repeats a proposal
// that failed.
//
// A leader that was not scheduled for longer than TickGap extends every lease by its full duration:
// the renewals of that time are unread in its sockets or were lost, so that missing renewals prove
// nothing.
func (t *Table) Tick(now time.Time) []storer.MemberEpoch {
	paused := now.Sub(t.lastTick) > t.settings.TickGap
	t.lastTick = now
	if paused {
		for _, e := range t.members {
			e.renewed = now
		}
		return nil
	}
	var due []*tableEntry
	for _, e := range t.members {
		if now.Sub(e.renewed) >= t.settings.Lease {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return nil
	}
	massSilences := t.massSilences(now)
	var expired []storer.MemberEpoch
	for _, e := range due {
		if massSilences[e.FailureDomain] && !e.extended {
			e.extended = true
			e.renewed = now
			continue
		}
		expired = append(expired, storer.MemberEpoch{Name: e.Name, Epoch: e.Epoch})
	}
	slices.SortFunc(expired, func(a, b storer.MemberEpoch) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}

// massSilences returns the failure domains in which so many members are silent that a network
// partition between them and the control hosts is more likely than their failure.
//
// Members silenced by a partition do not expire in the same tick, since each renewed at a different
// time. The guard therefore counts all members that have been silent for half a lease, not only
// those whose lease has expired.
func (t *Table) massSilences(now time.Time) map[string]bool {
	type count struct{ all, silent int }
	counts := make(map[string]count)
	for _, e := range t.members {
		c := counts[e.FailureDomain]
		c.all++
		if e.extended || now.Sub(e.renewed) >= t.settings.Lease/silentLeaseDivisor {
			c.silent++
		}
		counts[e.FailureDomain] = c
	}
	massSilences := make(map[string]bool)
	for domain, c := range counts {
		if c.silent >= t.settings.StormLeast && float64(c.silent) > t.settings.StormShare*float64(c.all) {
			massSilences[domain] = true
		}
	}
	return massSilences
}
