package tracker

import (
	"crypto/sha256"

	"github.com/juju/errors"
)

// KeyDigest stands for a caller's key, which is a secret and kept nowhere. The zero value
// stands for none.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key; that of an empty one is the zero value.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// Quota is a token bucket that a workspace's calls are paid from.
type Quota struct {
	// Rate is what flows in, in units a second; 0 means no limit.
	Rate float64
	// Burst is what the bucket holds at most, in units.
	Burst float64
	// Tokens means that a call costs its tokens, and else that it costs 1.
	Tokens bool
	// PlainCost is what a call costs that does not tell its tokens.
	PlainCost float64
}

// Cost returns what a call costs with its tokens, of prompt and answer together; negative
// tokens mean that it does not tell them.
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

// Workspace is an organisation whose callers name it by a key.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority goes before that of the route where Ranked is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Workspace returns the one that holds a key, or nil.
func (r *Routing) Workspace(key KeyDigest) *Workspace { return r.keys[key] }

// compileKeys checks the workspaces. Its errors name no key.
func (r *Routing) compileKeys() error {
	r.keys = make(map[KeyDigest]*Workspace)
	names := make(map[string]struct{}, len(r.Workspaces))
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		if _, taken := names[w.Name]; taken || w.Name == "" {
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
