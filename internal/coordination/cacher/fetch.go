package cacher

import "time"

// Link is the link over which an engine fetches cached parts from another one.
type Link struct {
	// TokenBytes is the size of the cache of one token, and Mbps the bandwidth in megabits
	// per second. No fetch takes place unless both are positive.
	TokenBytes float64
	Mbps       float64
}

// MaxSourceAge is the greatest age of the last report of an engine from which parts are
// fetched.
const MaxSourceAge = 500 * time.Millisecond

const (
	// otherDomainFactor is the factor by which a transfer between failure domains takes
	// longer.
	otherDomainFactor = 2
	// maxTransferShare is the share of the prefill time saved that a fetch may take. Beyond
	// it, the risk that the source has evicted the parts outweighs the gain.
	maxTransferShare = 0.5
	// minSaved is the prefill time from which a fetch pays: a quarter of the prefill of a usual
	// long prompt. Transfers take memory bandwidth and memory of both engines.
	minSaved = 50 * time.Millisecond
)

// Usable reports whether engines can fetch over the link.
func (l Link) Usable() bool { return l.TokenBytes > 0 && l.Mbps > 0 }

// Transfer returns the time to fetch the given number of tokens.
func (l Link) Transfer(tokens int, otherDomain bool) time.Duration {
	seconds := float64(tokens) * l.TokenBytes * 8 / (l.Mbps * 1e6)
	if otherDomain {
		seconds *= otherDomainFactor
	}
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// Pays reports whether a fetch that takes the given time, its wait for other transfers
// included, is worth the prefill time that it saves.
func Pays(transfer, saved time.Duration) bool {
	return saved >= minSaved && float64(transfer) < maxTransferShare*float64(saved)
}
