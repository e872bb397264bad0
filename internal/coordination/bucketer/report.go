package bucketer

// Use is what an entry reports of one workspace.
type Use struct {
	Workspace string `json:"W"`
	Limit     `json:"Q"`
	// Account numbers the entry's account of the workspace, and Total is what that has
	// admitted in all, less what it gave back, in units. A report that arrives twice counts
	// once by them.
	Account uint64  `json:"A"`
	Total   float64 `json:"T,omitempty"`
	// Spent is the part of Total that no leader has answered for.
	Spent float64 `json:"S,omitempty"`
	// Level is what the bucket held before Spent, in units, and Known tells that it rests on
	// a leader's recent answer.
	Level float64 `json:"L,omitempty"`
	Known bool    `json:"K,omitempty"`
	// Ledger is the number of the ledger that Level is from.
	Ledger uint64 `json:"G,omitempty"`
}

// Report tells the leader what an entry has admitted.
type Report struct {
	Entry string
	Uses  []Use
}

// Batch carries the reports that a control host has gathered.
type Batch struct {
	// Host is the control host, and Entries the number of entries connected to it.
	Host    string
	Entries int
	Reports []Report
}

// Level is a workspace's bucket as the leader has it.
type Level struct {
	Workspace string `json:"W"`
	// Tokens is what the bucket holds, in units; it may be negative.
	Tokens float64 `json:"T"`
	// Rate is what all entries together admit, in units a second.
	Rate float64 `json:"R,omitempty"`
}

// Answer answers reports.
type Answer struct {
	// Ledger is the number of the leader's ledger.
	Ledger uint64 `json:",omitempty"`
	// Revision covers all changes that were accepted before the answer.
	Revision uint64
	// Entries is the number of entries of all control hosts.
	Entries int
	Levels  []Level
}
