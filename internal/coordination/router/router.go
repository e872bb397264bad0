package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
)

// shardCount is the number of shards; it must be a power of two.
const shardCount = 16

// Router chooses backend servers. It is safe for concurrent use.
type Router struct {
	settings Settings
	view     atomic.Pointer[view]
	shards   [shardCount]shard

	mu sync.Mutex
	// averages is kept across views; guarded by mu.
	averages map[Pool]*averages
	// generation and number are the last values assigned; guarded by mu.
	generation uint32
	number     uint64
}

// shard holds the versions whose hash maps to it.
type shard struct {
	mu sync.Mutex
	// random selects candidates; guarded by mu.
	random *rand.Rand
	// versions maps names to known versions; guarded by mu.
	versions map[string]*version
	// prefixes records where prompt prefixes were last computed; guarded by mu.
	prefixes [prefixCount]prefixPlace
}

// NewRouter returns a router without members.
func NewRouter(s Settings) *Router {
	r := &Router{settings: s.withDefaults(), averages: make(map[Pool]*averages)}
	r.view.Store(&view{})
	for i := range r.shards {
		r.shards[i].random = rand.New(rand.NewPCG(r.settings.Seed, uint64(i)))
		r.shards[i].versions = make(map[string]*version)
	}
	return r
}

// SetMembers replaces the membership. The state of continuing memberships is kept;
// leaving members receive no new calls. It returns ErrTooMany if there are more members
// than a router can index.
func (r *Router) SetMembers(members []indexer.Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := builder{
		settings: &r.settings, previous: r.view.Load(), averages: r.averages,
		generation: &r.generation, number: &r.number,
	}
	if err := u.build(members); err != nil {
		return err
	}
	r.view.Store(u.next)
	return nil
}

// Serves reports whether some backend server serves the pool.
func (r *Router) Serves(p Pool) bool { return r.view.Load().pools[p] != nil }

// Address returns the companion's address and incarnation of a member, including
// leaving ones.
func (r *Router) Address(backend string) (address, incarnation string, ok bool) {
	b := r.view.Load().byName[backend]
	if b == nil {
		return "", "", false
	}
	return b.member.Spec.Address, b.member.Spec.Incarnation, true
}

func (r *Router) shard(hash uint64) *shard { return &r.shards[hash%shardCount] }

// version returns the state of the version, creating it if necessary. The caller holds
// mu.
func (s *shard) version(w *view, name string, hash uint64, limit int, now time.Time) *version {
	v := s.versions[name]
	if v == nil {
		if len(s.versions) >= limit {
			s.evict(w, now)
		}
		v = &version{hash: hasher.Mix(hash), ratedAt: now.UnixNano()}
		s.versions[name] = v
	}
	return v
}

// evict removes the version that has been idle longest among a sample of versions,
// taken in the random order of map iteration. It bounds memory when calls name very
// many versions. The caller holds mu.
func (s *shard) evict(w *view, now time.Time) {
	const drawn = 8
	oldest, at, n := "", now.UnixNano()+1, 0
	for name, v := range s.versions {
		pinned := false
		for i := range v.places {
			pinned = pinned || v.places[i].pinned > 0
		}
		if !pinned && v.ratedAt < at {
			oldest, at = name, v.ratedAt
		}
		if n++; n >= drawn && oldest != "" {
			break
		}
	}
	if oldest == "" {
		return
	}
	for _, p := range s.versions[oldest].places {
		if b := w.at(p.index, p.generation); b != nil {
			b.countResidents(-1)
		}
	}
	delete(s.versions, oldest)
}

// Report applies a backend server's load report, which comes from a digest or from an
// answer.
func (r *Router) Report(now time.Time, backend string, report Report) {
	if b := r.view.Load().byName[backend]; b != nil {
		b.report(now, report)
	}
}

// Suspect makes the entry avoid the backend server for at least wait, because its
// connection was refused or its heartbeats stopped. The membership may last until its
// lease expires, and calls sent there in the meantime would only lose time.
func (r *Router) Suspect(now time.Time, backend string, wait time.Duration) {
	if b := r.view.Load().byName[backend]; b != nil {
		b.suspect(now.Add(max(wait, r.settings.SuspectFor)))
	}
}

// Resident records a hint that the version is resident at the backend server, or no
// longer resident.
func (r *Router) Resident(now time.Time, backend, version string, resident bool) {
	w := r.view.Load()
	b := w.byName[backend]
	if b == nil {
		return
	}
	hash := xxhash.Sum64String(version)
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !resident {
		if v := s.versions[version]; v != nil {
			v.removeResident(b)
		}
		return
	}
	v := s.version(w, version, hash, r.settings.MaxVersions/shardCount, now)
	p, made := v.findOrAdd(w, b, now)
	if made {
		b.countResidents(1)
	}
	if p.evidence == evidenceLoading {
		p.evidence = evidenceHint
	}
	p.at = now.UnixNano()
}

// removeResident removes the place of the version at the backend server unless the
// entry has a call in flight there. Such a call is either being served by the version,
// in which case the companion does not evict it, or waits for it to be loaded again.
func (v *version) removeResident(b *backend) {
	p := v.find(b)
	if p == nil {
		return
	}
	if p.pinned > 0 {
		return
	}
	v.remove(b)
	b.countResidents(-1)
}

// Size returns the number of backend servers that serve the pool.
func (r *Router) Size(p Pool) int {
	if q := r.view.Load().pools[p]; q != nil {
		return len(q.members)
	}
	return 0
}

// InFlight returns the number of the entry's own calls at all members.
func (r *Router) InFlight() int {
	total := 0
	for _, b := range r.view.Load().byName {
		b.mu.Lock()
		total += b.inFlight
		b.mu.Unlock()
	}
	return total
}
