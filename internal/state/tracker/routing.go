package tracker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

//go:generate stringer -type=Repeat -trimprefix=Repeat

// Repeat tells what may be repeated of the calls on a route.
type Repeat int

// The kinds of repetition.
const (
	// RepeatNever means that a call runs at most once.
	RepeatNever Repeat = iota
	// RepeatFreely means that a call may run more than once.
	RepeatFreely
)

// Share is the part of a route's calls that one service takes.
type Share struct {
	Service string
	Weight  int
}

// Route tells how the calls under one host and path are served.
type Route struct {
	Name string
	Host string
	// Prefix begins the path of the route's calls, and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream means that answers are streams of numbered events.
	Stream bool
	// Resumable means that a broken stream may go on at another backend server
	// after the last event that was passed on.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time in which an answer, or a stream's first event, should
	// come.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is in time.
	MaxEventGap time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// MaxAttempts bounds the backend servers that one call is handed to.
	MaxAttempts int
	// Public means that callers need no key.
	Public bool
	// Shares are the services, with a sum of weights above 0.
	Shares []Share
	// total is the sum of weights.
	total int
}

// Pick returns the service for a call by an even draw from 0 to 1.
func (r *Route) Pick(draw float64) string {
	at := int(draw * float64(r.total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a model that an engine can hold, and its adapters.
type Model struct {
	Name string
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
	Adapters int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of calls that run at once.
	Slots int
	// MemoryTokens is the size of the memory that running calls and cached
	// prompt parts share.
	MemoryTokens int
	// MaxAdapters is the number of adapters held at once, those on their way
	// included.
	MaxAdapters int
	Models      []Model
}

// Service is a set of like backend servers.
type Service struct {
	Name string
	// HealthPath answers whether a backend server is well.
	HealthPath string
	// MaxConns bounds the connections that one backend server takes from all
	// callers together; 0 means not told.
	MaxConns int
	// Engine is set where the service runs model engines.
	Engine *Engine
}

// Limits bound what a caller may send; 0 means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is a whole routing configuration.
type Routing struct {
	// Number is the operator's; the highest is in force.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed means that callers name their workspace by a key, but for public routes.
	Keyed      bool
	Workspaces []Workspace

	// hosts holds each host's routes, the longest prefix first.
	hosts map[string][]*Route
	named map[string]*Service
	// keys holds the workspaces by their keys' digests.
	keys map[KeyDigest]*Workspace
}

// Compile checks the routing and makes it ready for Match. It returns an error
// that names the first fault.
func (r *Routing) Compile() error {
	r.named = make(map[string]*Service, len(r.Services))
	for i := range r.Services {
		s := &r.Services[i]
		if s.Name == "" || r.named[s.Name] != nil {
			return errors.NotValidf("service %q: a name that is empty or given twice", s.Name)
		}
		r.named[s.Name] = s
	}
	r.hosts = make(map[string][]*Route)
	places := make(map[string]struct{}, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := r.check(route); err != nil {
			return errors.Annotatef(err, "route %q", route.Name)
		}
		place := route.Host + route.Prefix
		if _, taken := places[place]; taken {
			return errors.NotValidf("route %q: host and prefix of another route", route.Name)
		}
		places[place] = struct{}{}
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

func (r *Routing) check(route *Route) error {
	switch {
	case route.Host == "":
		return errors.NotValidf("an empty host")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.NotValidf("prefix %q", route.Prefix)
	case route.Timeout <= 0:
		return errors.NotValidf("timeout %s", route.Timeout)
	}
	route.total = 0
	for _, s := range route.Shares {
		if r.named[s.Service] == nil {
			return errors.NotValidf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.NotValidf("weight %d", s.Weight)
		}
		route.total += s.Weight
	}
	if route.total <= 0 {
		return errors.NotValidf("weights that add up to %d", route.total)
	}
	return nil
}

// Match returns the route of a call, or nil. The path is as the caller sent it.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service of a name, or nil.
func (r *Routing) Service(name string) *Service { return r.named[name] }
