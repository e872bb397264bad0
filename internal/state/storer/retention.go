package storer

import (
	"cmp"
	"time"
)

// Defaults of Retention.
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

// Retention bounds what the state remembers beside the resources. It is itself
// replicated state: hosts which forgot a record at different log positions
// would answer a resent change differently, and their states would part.
//
// A record is forgotten when it is older than its age by the state's time and
// also MinEntries or more entries of the log came after it. Time alone would
// let one leader whose clock runs ahead empty the memory at once; position
// alone would let a rush push out, within seconds, what a caller still resends.
// The state's time never goes back, and advances by at most a minute for each
// entry: a single false stamp can't age anything by more, and a quiet log only
// keeps records longer.
//
// The zero value of a field means its default.
type Retention struct {
	// IdempotencyAge is the time for which the first answer to a change with an
	// idempotency key is kept.
	IdempotencyAge time.Duration `cbor:"1,keyasint,omitempty"`
	// ClaimAge is the time for which a claim is kept after its last change.
	ClaimAge time.Duration `cbor:"2,keyasint,omitempty"`
	// VersionNameAge is the time for which the name of a deleted version stays
	// bound to the content it had.
	VersionNameAge time.Duration `cbor:"3,keyasint,omitempty"`
	// MinEntries is the number of later log entries after which a record may be
	// forgotten.
	MinEntries int `cbor:"4,keyasint,omitempty"`
	// MaxRecords bounds the claims, the idempotency records and the names of
	// deleted versions, each by itself. Beyond it new ones are refused with
	// VerdictFull rather than old ones forgotten early.
	MaxRecords int `cbor:"5,keyasint,omitempty"`
	// HistoryChanges is the number of latest changes kept for watchers.
	HistoryChanges int `cbor:"6,keyasint,omitempty"`
}

// withDefaults returns r with its zero fields filled.
func (r Retention) withDefaults() Retention {
	r.IdempotencyAge = cmp.Or(max(r.IdempotencyAge, 0), DefaultIdempotencyAge)
	r.ClaimAge = cmp.Or(max(r.ClaimAge, 0), DefaultClaimAge)
	r.VersionNameAge = cmp.Or(max(r.VersionNameAge, 0), DefaultVersionNameAge)
	r.MinEntries = cmp.Or(max(r.MinEntries, 0), DefaultMinEntries)
	r.MaxRecords = cmp.Or(max(r.MaxRecords, 0), DefaultMaxRecords)
	r.HistoryChanges = cmp.Or(max(r.HistoryChanges, 0), DefaultHistoryChanges)
	return r
}

// expired reports whether a record made at index and time may be forgotten when
// the log has come to head at the state's time now.
func (r Retention) expired(age time.Duration, index uint64, at Instant, head uint64, now Instant) bool {
	return now-at > Instant(age) && head-index >= uint64(r.MinEntries)
}
