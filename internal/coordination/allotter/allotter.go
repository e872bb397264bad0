package allotter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind is what buffered bytes belong to. The names of the values are written to metrics.
type Kind int

// The kinds.
const (
	// KindRequest are the bodies of requests, which are kept for retries until the call ends.
	KindRequest Kind = iota
	// KindAnswer are answers that are read completely before they are forwarded.
	KindAnswer
	// KindConnection are open connections, with the heads of their requests.
	KindConnection
	kinds
)

// Defaults of Settings.
const (
	DefaultTotal = 32 << 20
	// DefaultAnswer fits the answers of plain services, so that only unusual ones are forwarded
	// before they are complete.
	DefaultAnswer = 1 << 20
	// DefaultConnections is 32 KiB for each of DefaultMaxConnections.
	DefaultConnections    = 64 << 20
	DefaultMaxConnections = 2048
)

// answerShare is the share of the total up to which answers are buffered. An answer without room
// is forwarded as it arrives, while a request without room must be refused.
const answerShare = 0.5

// Settings are the limits in bytes. The zero value of a field means its default.
type Settings struct {
	// Total is the limit for all calls.
	Total int64
	// Answer is the limit for the answers to one call.
	Answer int64
	// Connections is the limit for connections and the heads of their requests, which count twelve times:
	// a head takes much more once it is parsed. MaxConnections is the limit of their number.
	Connections    int64
	MaxConnections int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Allotter counts the buffered bytes of a process, and its accepted connections. It is safe for concurrent use.
type Allotter struct {
	settings  Settings
	held      [kinds]atomic.Int64
	evictions atomic.Int64

	mu sync.Mutex
	// accounts holds the accounts that are open and not evicted; guarded by mu.
	accounts map[*Account]struct{}
	// evicted holds the accounts that were evicted and whose connections are open; guarded by mu.
	evicted map[*Account]struct{}
	// leaving is what the connections of evicted accounts held and have not given back yet; guarded by mu.
	leaving [kinds]int64
}

// NewAllotter returns an allotter with nothing held.
func NewAllotter(s Settings) *Allotter {
	if s.Total <= 0 {
		s.Total = DefaultTotal
	}
	if s.Answer <= 0 {
		s.Answer = DefaultAnswer
	}
	if s.Connections <= 0 {
		s.Connections = DefaultConnections
	}
	if s.MaxConnections <= 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return &Allotter{settings: s, accounts: make(map[*Account]struct{}), evicted: make(map[*Account]struct{})}
}

const (
	// bufferShare is the share of a process's memory for requests and answers. Garbage of the same size,
	// the replicated state and connections need room as well.
	bufferShare = 0.2
	// connectionShare is the share of a process's memory for connections and the heads of their requests.
	connectionShare = 0.1
	// minConnections is the least limit of the number of connections.
	minConnections = 16
)

// HostSettings returns the limits of a process that may use the given memory, in bytes, and the given number
// of descriptors, some of which are reserved for others than accepted connections and their second ones, to
// backend servers. A memory or a number of descriptors of 0 means the defaults.
func HostSettings(memory int64, descriptors, reserved int) Settings {
	s := Settings{Total: int64(bufferShare * float64(memory)), Connections: int64(connectionShare * float64(memory))}
	if descriptors > 0 {
		s.MaxConnections = max(minConnections, (descriptors-reserved)/2)
	}
	return s
}

// NewUnlimited returns an allotter that only counts.
func NewUnlimited() *Allotter {
	return NewAllotter(Settings{Total: math.MaxInt64, Answer: math.MaxInt64, Connections: math.MaxInt64, MaxConnections: math.MaxInt32})
}

// Held returns the number of bytes held of a kind.
func (a *Allotter) Held(k Kind) int64 { return a.held[k].Load() }

// Holding is what one call holds. It is not safe for concurrent use.
type Holding struct {
	allotter *Allotter
	bounded  bool
	held     [kinds]int64
}

// NewHolding returns a holding of nothing, which must be released when the call ends. Without
// bounded, Add only counts.
func (a *Allotter) NewHolding(bounded bool) *Holding { return &Holding{allotter: a, bounded: bounded} }

// Add counts n bytes that the call has buffered. It returns false if they exceed a limit, so that no
// more may be buffered.
func (h *Holding) Add(k Kind, n int64) bool {
	a := h.allotter
	h.held[k] += n
	a.held[k].Add(n)
	if !h.bounded {
		return true
	}
	total := a.Held(KindRequest) + a.Held(KindAnswer)
	if k == KindAnswer {
		return h.held[k] <= a.settings.Answer && float64(total) <= answerShare*float64(a.settings.Total)
	}
	return total <= a.settings.Total
}

// Take adds what another holding of the same allotter holds, which then holds nothing.
func (h *Holding) Take(other *Holding) {
	for k := range kinds {
		h.held[k] += other.held[k]
		other.held[k] = 0
	}
}

// Release ends the holding.
func (h *Holding) Release() {
	for k := range kinds {
		h.allotter.held[k].Add(-h.held[k])
		h.held[k] = 0
	}
}
