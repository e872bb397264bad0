package bucketer

// Use is what an entry reports of one workspace.
type Use struct {
	Workspace string `json:"W"`
	Limit     `json:"Q"`
	// Spent is what the entry has admitted since its report before, less what it gave
	// back, in units.
	Spent float64 `json:"S,omitempty"`
	// Level is the entry's estimate of the bucket before Spent, in units, and Known tells
	// that it rests on a leader's recent answer.
	Level float64 `json:"L,omitempty"`
	Known bool    `json:"K,omitempty"`
	// Ledger is the number of the ledger that Level is from.
	Ledger uint64 `json:"G,omitempty"`
}

// Report tells the leader what entries have admitted.
type Report struct {
	// Host is the control host that passes the report on, and Entries the number of
	// entries connected to it.
	Host    string `json:",omitempty"`
	Entries int    `json:",omitempty"`
	Uses    []Use
}

// Level is a workspace's bucket as the leader has it.
type Level struct {
	Workspace string `json:"W"`
	// Tokens is what the bucket holds, in units; it may be negative.
	Tokens float64 `json:"T"`
	// Rate is what all entries together admit, in units a second.
	Rate float64 `json:"R,omitempty"`
}

// Answer answers a Report.
type Answer struct {
	// Ledger is the number of the leader's ledger.
	Ledger uint64 `json:",omitempty"`
	// Revision covers all changes that were accepted before the answer.
	Revision uint64
	// Entries is the number of entries of all control hosts.
	Entries int
	Levels  []Level
}

// Merge adds reports up, so that one message carries those of many entries.
func Merge(reports []Report) Report {
	var sum Report
	at := make(map[string]int)
	for _, r := range reports {
		for _, u := range r.Uses {
			i, known := at[u.Workspace]
			if !known {
				at[u.Workspace] = len(sum.Uses)
				sum.Uses = append(sum.Uses, u)
				continue
			}
			sum.Uses[i].add(u)
		}
	}
	return sum
}

// add takes another entry's use in: the newest limit counts, and the lowest level of the
// oldest ledger, which is the one that a new leader lacks.
func (u *Use) add(o Use) {
	u.Spent += o.Spent
	if o.Number > u.Number {
		u.Limit = o.Limit
	}
	if o.Known && (!u.Known || o.Ledger < u.Ledger || o.Ledger == u.Ledger && o.Level < u.Level) {
		u.Level, u.Known, u.Ledger = o.Level, true, o.Ledger
	}
}
