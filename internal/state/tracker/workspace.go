package tracker

import (
	"crypto/sha256"

	"github.com/juju/errors"
)

// KeyDigest is the SHA-256 digest of a caller's key. The key itself is a secret and is not
// stored. The zero value means no key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key; the digest of an empty key is the zero value.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// Quota is a token bucket to which the calls of a workspace are charged.
type Quota struct {
	// Rate is the refill rate, in units per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the bucket, in units.
	Burst float64
	// Tokens means that a call costs one unit per token; otherwise each call costs 1.
	Tokens bool
	// PlainCost is the cost, in units, of a call whose number of tokens is unknown.
	PlainCost float64
}

// Cost returns the cost, in units, of a call with the given number of tokens of prompt and
// answer together. A negative number means that it is unknown.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens < 0:
		return q.PlainCost
	default:
		return float64(tokens)
	}
}

// Workspace is an organisation whose callers are identified by a key.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Workspace returns the workspace of a key, or nil.
func (r *Routing) Workspace(key KeyDigest) *Workspace { return r.keys[key] }

// compileKeys checks the workspaces and builds the map of their keys. Its errors
// contain no key.
func (r *Routing) compileKeys() error {
	r.keys = make(map[KeyDigest]*Workspace)
	names := make(map[string]struct{}, len(r.Workspaces))
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		if _, duplicate := names[w.Name]; duplicate || w.Name == "" {
			return errors.NotValidf("workspace %q: a name that is empty or given twice", w.Name)
		}
		names[w.Name] = struct{}{}
		if w.Quota.Rate < 0 || w.Quota.Burst < 0 || w.Quota.PlainCost < 0 {
			return errors.NotValidf("workspace %q: a negative quota", w.Name)
		}
		for _, key := range w.Keys {
			switch other := r.keys[key]; {
			case key == (KeyDigest{}):
				return errors.NotValidf("workspace %q: an empty key", w.Name)
			case other != nil && other != w:
				return errors.NotValidf("workspaces %q and %q: one key", other.Name, w.Name)
			}
			r.keys[key] = w
		}
	}
	return nil
}
