package bucketer

// Use is an entry's report on one workspace.
type Use struct {
	Workspace string `json:"W"`
	Limit     `json:"Q"`
	// Account is the number of the entry's account of the workspace. Total is what the account has
	// admitted in all, less refunds, in units. They let a report that arrives twice count once.
	Account uint64  `json:"A"`
	Total   float64 `json:"T,omitempty"`
	// Spent is the part of Total that no leader has acknowledged, in units.
	Spent float64 `json:"S,omitempty"`
	// Level is the level of the bucket before Spent, in units. Known is set if it is based on a
	// recent answer of a leader.
	Level float64 `json:"L,omitempty"`
	Known bool    `json:"K,omitempty"`
	// Ledger is the number of the ledger that Level is from.
	Ledger uint64 `json:"G,omitempty"`
	// Retries are the refused units that the entry expects to be retried, in each 250 ms after the
	// report. They replace those of the previous report. Entries of earlier versions send none.
	Retries []float64 `json:"R,omitempty"`
}

// Report reports to the leader what an entry has admitted.
type Report struct {
	Entry string
	// Number increases with each report of an entry. A report whose number is not higher than
	// one already counted was delayed, and is not counted. Reports of earlier versions have 0.
	Number uint64 `json:",omitempty"`
	Uses   []Use
}

// Batch holds the reports that a control host has collected.
type Batch struct {
	// Host is the name of the control host, and Entries the number of entries connected to it.
	Host    string
	Entries int
	Reports []Report
}

// Level is the state of a workspace's bucket at the leader.
type Level struct {
	Workspace string `json:"W"`
	// Tokens is the level of the bucket in units; it may be negative.
	Tokens float64 `json:"T"`
	// Rate is the rate that all entries together admit, in units per second.
	Rate float64 `json:"R,omitempty"`
	// Retries is the sum of Use.Retries over all entries, in each 250 ms after the answer. Leaders
	// of earlier versions send none.
	Retries []float64 `json:"E,omitempty"`
}

// Answer is the answer to a Batch or a Report.
type Answer struct {
	// Ledger is the number of the leader's ledger.
	Ledger uint64 `json:",omitempty"`
	// Revision is a revision that includes all changes accepted before the answer.
	Revision uint64
	// Entries is the total number of entries over all control hosts.
	Entries int
	Levels  []Level
}
