package tracker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

//go:generate stringer -type=Repeat -trimprefix=Repeat

// Repeat specifies whether the calls on a route may be repeated.
type Repeat int

// The values of Repeat.
const (
	// RepeatNever means that a call may run at most once.
	RepeatNever Repeat = iota
	// RepeatFreely means that a call may run more than once.
	RepeatFreely
)

// Share is the weight of one service in a route's calls.
type Share struct {
	Service string
	Weight  int
}

// Route specifies how the calls of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix is the prefix of the path of the route's calls. It begins and ends with
	// a slash.
	Prefix string
	Repeat Repeat
	// Stream means that answers are streams of numbered events.
	Stream bool
	// Resumable means that a broken stream may be resumed at another backend server
	// after the last event that was forwarded to the caller.
	Resumable bool
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// Target is the target time until the answer, or the first event of a stream.
	Target time.Duration
	// MaxEventGap is the target for the maximum time between two events of a stream.
	MaxEventGap time.Duration
	// FirstEventTimeout is the time after which callers abandon a stream without any event; 0
	// means that it is not known.
	FirstEventTimeout time.Duration
	// Priority is the priority of the calls; 0 is served first.
	Priority int
	// MaxAttempts limits the number of backend servers to which one call is sent.
	MaxAttempts int
	// Public means that callers need no key.
	Public bool
	// Shares are the services; the sum of their weights is above 0.
	Shares []Share
	// totalWeight is the sum of the weights.
	totalWeight int
}

// Pick returns the service for a call; draw is a uniform random number from 0 to 1.
func (r *Route) Pick(draw float64) string {
	remaining := int(draw * float64(r.totalWeight))
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a model that an engine can load, with its adapters.
type Model struct {
	Name string
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
	// Adapters is the number of adapters of the model.
	Adapters int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of calls that can run at the same time.
	Slots int
	// MemoryTokens is the size, in tokens, of the KV cache that running calls and
	// cached prompt prefixes share.
	MemoryTokens int
	// MaxAdapters is the maximum number of resident adapters, including those that
	// are being loaded.
	MaxAdapters int
	// KVTokenBytes is the size of the KV cache of one token in bytes, and LinkMbps the
	// bandwidth in megabits per second at which engines fetch it from each other; 0 means
	// unknown.
	KVTokenBytes float64
	LinkMbps     float64
	// Moves means that an engine can stop a run and copy its KV cache to another engine.
	Moves  bool
	Models []Model
}

// Service is a set of equivalent backend servers.
type Service struct {
	Name string
	// HealthPath is the path of a backend server's health check.
	HealthPath string
	// MaxConns is the maximum number of connections that one backend server accepts
	// from all callers together; 0 means unknown.
	MaxConns int
	// Engine describes the model engines of the service; nil if it runs none.
	Engine *Engine
}

// Limits are the limits for requests and connections of callers; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is a complete routing configuration.
type Routing struct {
	// Number is assigned by the operator; the highest is in force.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed means that callers are identified by the key of their workspace, except
	// on public routes.
	Keyed      bool
	Workspaces []Workspace

	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// keys holds the workspaces by the digests of their keys.
	keys map[KeyDigest]*Workspace
}

// Compile validates the routing and builds the indexes for Match, Service and
// Workspace. The returned error describes the first fault.
func (r *Routing) Compile() error {
	r.services = make(map[string]*Service, len(r.Services))
	for i := range r.Services {
		s := &r.Services[i]
		if s.Name == "" || r.services[s.Name] != nil {
			return errors.NotValidf("service %q: a name that is empty or given twice", s.Name)
		}
		r.services[s.Name] = s
	}
	r.hosts = make(map[string][]*Route)
	prefixes := make(map[string]struct{}, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := r.checkRoute(route); err != nil {
			return errors.Annotatef(err, "route %q", route.Name)
		}
		prefix := route.Host + route.Prefix
		if _, duplicate := prefixes[prefix]; duplicate {
			return errors.NotValidf("route %q: host and prefix of another route", route.Name)
		}
		prefixes[prefix] = struct{}{}
		r.hosts[route.Host] = append(r.hosts[route.Host], route)
	}
	if err := r.compileKeys(); err != nil {
		return err
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (r *Routing) checkRoute(route *Route) error {
	switch {
	case route.Host == "":
		return errors.NotValidf("an empty host")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.NotValidf("prefix %q", route.Prefix)
	case route.Timeout <= 0:
		return errors.NotValidf("timeout %s", route.Timeout)
	}
	route.totalWeight = 0
	for _, s := range route.Shares {
		if r.services[s.Service] == nil {
			return errors.NotValidf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.NotValidf("weight %d", s.Weight)
		}
		route.totalWeight += s.Weight
	}
	if route.totalWeight <= 0 {
		return errors.NotValidf("weights that add up to %d", route.totalWeight)
	}
	return nil
}

// Match returns the route with the longest prefix of the path, or nil. The path is
// as the caller sent it.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (r *Routing) Service(name string) *Service { return r.services[name] }
