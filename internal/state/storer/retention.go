package storer

import (
	"cmp"
	"time"
)

// Defaults of Retention, and limits that are not configurable.
const (
	DefaultIdempotencyAge  = 24 * time.Hour
	DefaultClaimAge        = 30 * time.Minute
	DefaultVersionNameAge  = 7 * 24 * time.Hour
	DefaultMinEntries      = 10_000
	DefaultMaxRecords      = 1_000_000
	DefaultHistoryChanges  = 50_000
	maxTimeStep            = Instant(time.Minute)
	maxSupersededPerMember = 8
)

// Retention limits the records that the state keeps besides the resources. It is
// itself replicated state: hosts that dropped a record at different log positions
// would answer a resent change differently, and their states would diverge.
//
// A record expires when it is older than its age by the state's time and at least
// MinEntries log entries follow it. With the time alone, a leader whose clock
// runs ahead would expire all records at once; with the position alone, a burst
// of commands would within seconds expire records of changes that callers still
// resend. The state's time never decreases, and advances by at most one minute
// per entry: a single wrong timestamp ages records by no more than that, and in a
// log with few entries records are only kept longer.
//
// The zero value of a field means its default.
type Retention struct {
	// IdempotencyAge is the time for which the first result of a change with an
	// idempotency key is kept.
	IdempotencyAge time.Duration `cbor:"1,keyasint,omitempty"`
	// ClaimAge is the time for which a claim is kept after its last change.
	ClaimAge time.Duration `cbor:"2,keyasint,omitempty"`
	// VersionNameAge is the time for which the name of a deleted version stays
	// bound to its content.
	VersionNameAge time.Duration `cbor:"3,keyasint,omitempty"`
	// MinEntries is the number of later log entries after which a record may
	// expire.
	MinEntries int `cbor:"4,keyasint,omitempty"`
	// MaxRecords limits the claims, the idempotency records and the names of
	// deleted versions, each separately. At the limit, new records are refused
	// with VerdictFull; old ones are not dropped early.
	MaxRecords int `cbor:"5,keyasint,omitempty"`
	// HistoryChanges is the number of latest changes that are kept for watchers.
	HistoryChanges int `cbor:"6,keyasint,omitempty"`
}

// withDefaults returns r with its zero fields replaced by the defaults.
func (r Retention) withDefaults() Retention {
	r.IdempotencyAge = cmp.Or(max(r.IdempotencyAge, 0), DefaultIdempotencyAge)
	r.ClaimAge = cmp.Or(max(r.ClaimAge, 0), DefaultClaimAge)
	r.VersionNameAge = cmp.Or(max(r.VersionNameAge, 0), DefaultVersionNameAge)
	r.MinEntries = cmp.Or(max(r.MinEntries, 0), DefaultMinEntries)
	r.MaxRecords = cmp.Or(max(r.MaxRecords, 0), DefaultMaxRecords)
	r.HistoryChanges = cmp.Or(max(r.HistoryChanges, 0), DefaultHistoryChanges)
	return r
}

// expired reports whether a record that was written at the given index and time
// has expired when the last applied index is head and the state's time is now.
func (r Retention) expired(age time.Duration, index uint64, at Instant, head uint64, now Instant) bool {
	return now-at > Instant(age) && head-index >= uint64(r.MinEntries)
}
