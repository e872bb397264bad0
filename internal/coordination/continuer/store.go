package continuer

import (
	"cmp"
	"sync"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMaxOrigins is the maximum number of origins in a Store.
	DefaultMaxOrigins = 1 << 16
	// DefaultMaxAge is the maximum time for which an origin is kept.
	DefaultMaxAge = 5 * time.Minute
)

const (
	// maxTextBytes limits the length of the attempt id and of each string of an origin.
	maxTextBytes = 512
	// minSweepSize is the number of origins below which expired ones are not removed, and
	// sweepInterval the minimum time between two sweeps.
	minSweepSize  = 64
	sweepInterval = time.Second
)

// Settings are the options of a Store. The zero value of a field selects its default.
type Settings struct {
	MaxOrigins int
	MaxAge     time.Duration
}

// Origin identifies the service and the software version that began the stream of an attempt.
type Origin struct {
	// Service and Software are the service and the software version of the backend server that
	// sent the first event.
	Service  string
	Software string
	// Request identifies the request at its entry.
	Request string
	// Expires is the time after which the caller no longer waits for the stream.
	Expires time.Time
}

// Store holds the origins of attempts until they expire. It is safe for concurrent use.
type Store struct {
	settings Settings

	mu sync.Mutex
	// origins holds the origins by attempt; guarded by mu.
	origins map[string]storedOrigin
	// sweptAt is the time of the last sweep; guarded by mu.
	sweptAt time.Time
}

type storedOrigin struct {
	Origin
	// conflicting means that two requests with the same attempt reported different origins.
	conflicting bool
}

// NewStore returns an empty store.
func NewStore(s Settings) *Store {
	s.MaxOrigins = cmp.Or(s.MaxOrigins, DefaultMaxOrigins)
	s.MaxAge = cmp.Or(s.MaxAge, DefaultMaxAge)
	return &Store{settings: s, origins: make(map[string]storedOrigin)}
}

// Put records the origin of an attempt and reports whether it was accepted. Malformed and
// expired origins are rejected, as are those of new attempts while the store is full. If two
// requests report different origins for the same attempt, its origin counts as unknown.
func (s *Store) Put(now time.Time, attempt string, o Origin) bool {
	if attempt == "" || o.Software == "" || max(len(attempt), len(o.Service), len(o.Software), len(o.Request)) > maxTextBytes || !now.Before(o.Expires) {
		return false
	}
	if latest := now.Add(s.settings.MaxAge); o.Expires.After(latest) {
		o.Expires = latest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	previous, found := s.origins[attempt]
	if !found && len(s.origins) >= s.settings.MaxOrigins {
		return false
	}
	next := storedOrigin{Origin: o}
	if found && now.Before(previous.Expires) {
		next.conflicting = previous.conflicting || previous.Request != o.Request && (previous.Service != o.Service || previous.Software != o.Software)
		if previous.Expires.After(next.Expires) {
			next.Expires = previous.Expires
		}
	}
	s.origins[attempt] = next
	return true
}

// Get returns the origin of an attempt, and whether it is known.
func (s *Store) Get(now time.Time, attempt string) (o Origin, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.origins[attempt]
	if !ok || stored.conflicting || !now.Before(stored.Expires) {
		return Origin{}, false
	}
	return stored.Origin, true
}

// Len returns the number of stored origins, including expired ones that have not been removed yet.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.origins)
}

// sweep removes expired origins. The caller holds mu.
func (s *Store) sweep(now time.Time) {
	if len(s.origins) < minSweepSize || now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for attempt, o := range s.origins {
		if !now.Before(o.Expires) {
			delete(s.origins, attempt)
		}
	}
}
