package modeler

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Kind describes one kind of call.
type Kind struct {
	Name string
	// PerSecond is the mean number of calls per second. Target is the maximum time to the
	// first event, or to the complete answer of a plain call.
	PerSecond float64
	Target    time.Duration
	Rank      int
	// Prompt and Answer are mean sizes in tokens; 0 means a plain call.
	Prompt, Answer int
}

// Pattern describes a deployment and its load. The figures come from users' deployment
// sheets and from the logs of their days with the highest load.
type Pattern struct {
	Name string
	// Origin describes the origin of the figures.
	Origin string
	Kinds  []Kind

	Domains, Entries, Engines int
	// Slots is the number of adapter slots per engine. Adapters is the number of requested
	// adapters, whose popularity has a Zipf distribution with exponent 1.2.
	Slots, Adapters int
	// StoreConcurrency is the number of concurrent loads that the store serves at full
	// speed. Load is the duration of a single load.
	StoreConcurrency int
	Load             time.Duration
	// Servers is the number of backend servers of the plain service. Each runs up to Places
	// calls concurrently and queues up to Queue. Leaving of them leave at LeaveAt.
	Servers, Places, Queue, Leaving int
	LeaveAt                         time.Duration
	// Burst multiplies the rates of calls, beginning at BurstAt and for BurstTime.
	Burst              float64
	BurstAt, BurstTime time.Duration
	// PowerLossAt is the time at which all hosts lose power, which is back after Outage; 0
	// means never.
	PowerLossAt, Outage time.Duration
	// CrashRate is the mean number per second of requests of one caller that crash each
	// backend server that begins to run them, beginning at CrashesAt and for CrashesFor. A
	// crashed backend server is back, empty, after Restart. The requests go to the plain
	// service if there are no engines.
	CrashRate                      float64
	CrashesAt, CrashesFor, Restart time.Duration
	// Limited is the number of backend servers of each service that name a limit of
	// LimitedRate requests per second, beginning at LimitedAt and for LimitedFor.
	Limited               int
	LimitedRate           float64
	LimitedAt, LimitedFor time.Duration
	// WarmUp is the time before calls are counted, and Length the total time in which calls
	// are made.
	WarmUp, Length time.Duration
}

// kindReview is the name of the kind of call with a long prompt.
const kindReview = "review"

// switchingKinds returns the kinds of calls of a firm that switches households' electricity
// suppliers, with the rates of its standard day multiplied by share.
func switchingKinds(share float64) []Kind {
	return []Kind{
		{Name: "query", PerSecond: 205 * share, Target: 500 * time.Millisecond, Prompt: 646, Answer: 70},
		{Name: "batch", PerSecond: 10.3 * share, Target: time.Second, Prompt: 646, Answer: 70},
		{Name: kindReview, PerSecond: 4.7 * share, Target: time.Second, Rank: 2, Prompt: 9190, Answer: 52},
	}
}

// Patterns returns the known patterns.
func Patterns() []Pattern {
	small := Pattern{
		Domains: 3, Entries: 4, Engines: 12, Slots: 18, Adapters: 3000, StoreConcurrency: 24, Load: 250 * time.Millisecond,
		Kinds: switchingKinds(1), WarmUp: 6 * time.Second, Length: 20 * time.Second,
	}
	burst := small
	burst.Name, burst.Burst, burst.BurstAt, burst.BurstTime, burst.Engines = "Burst", 1.9, 8*time.Second, 4*time.Second, 9
	burst.Origin = "a heavy day of 12 engines, 3 of them crashed: 1.9 times the calls for four seconds; 115 to 190 calls waited for loads"
	loss := small
	loss.Name, loss.PowerLossAt, loss.Outage = "PowerLoss", 8*time.Second, 1200*time.Millisecond
	loss.Origin = "the last third of most heavy days: all hosts lose power, processes are back after 1.2 s, engines empty"
	grown := small
	grown.Name, grown.Entries, grown.Engines, grown.Slots, grown.Adapters, grown.StoreConcurrency = "Grown", 21, 39, 15, 10_000, 96
	grown.Load, grown.Kinds = 288*time.Millisecond, switchingKinds(3.58)
	grown.Origin = "the same firm with 3.6 times the calls on 39 engines before a store that serves 96 loads at once"
	scarce := small
	scarce.Name, scarce.StoreConcurrency, scarce.Engines, scarce.Slots, scarce.Kinds = "SlowStore", 8, 18, 8, []Kind{
		{Name: "check", PerSecond: 33, Target: 800 * time.Millisecond, Prompt: 826, Answer: 290},
		{Name: kindReview, PerSecond: 32, Target: time.Second, Prompt: 9190, Answer: 52},
	}
	scarce.Origin = "a clearance desk: 18 engines of 8 slots before a store that serves 8 loads at once, half of the prompts long"
	services := Pattern{
		Name: "FewServers", Domains: 3, Entries: 21, Servers: 3, Places: 6, Queue: 24, Leaving: 2, LeaveAt: 2 * time.Second,
		Kinds:  []Kind{{Name: "lodge", PerSecond: 300, Target: 150 * time.Millisecond}},
		Origin: "two of three application servers of a heavy day leave: 300 calls a second on places for 200",
		WarmUp: 2 * time.Second, Length: 12 * time.Second,
	}
	large := Pattern{
		Name: "Large", Domains: 5, Entries: 68, Engines: 117, Slots: 8, Adapters: 24_000, StoreConcurrency: 40, Load: 250 * time.Millisecond,
		Kinds: []Kind{
			{Name: "check", PerSecond: 213, Target: 800 * time.Millisecond, Prompt: 826, Answer: 290},
			{Name: kindReview, PerSecond: 183, Target: time.Second, Rank: 1, Prompt: 9190, Answer: 52},
			{Name: "premium", PerSecond: 25, Target: time.Second, Rank: 2, Prompt: 9190, Answer: 52},
		},
		Origin: "a clearance desk in five failure domains: 68 entries before 117 engines of 8 slots, a standard day",
		WarmUp: 6 * time.Second, Length: 16 * time.Second,
	}
	largeLoss := large
	largeLoss.Name, largeLoss.PowerLossAt, largeLoss.Outage = "LargePowerLoss", 8*time.Second, 1500*time.Millisecond
	largeLoss.Origin = "the same desk when all hosts lose power: 117 engines begin to load before a store that serves 40 at once"
	fleet := large
	fleet.Name, fleet.Entries, fleet.Engines, fleet.StoreConcurrency = "Fleet", 359, 625, 224
	fleet.Kinds = []Kind{
		{Name: "check", PerSecond: 196, Target: 800 * time.Millisecond, Prompt: 826, Answer: 290},
		{Name: kindReview, PerSecond: 168, Target: time.Second, Rank: 2, Prompt: 9190, Answer: 52},
		{Name: "premium", PerSecond: 23.3, Target: time.Second, Rank: 1, Prompt: 9190, Answer: 52},
	}
	fleet.Origin = "the same desk with its whole fleet: 359 entries send 387 calls a second to 625 engines, one to the same engine in ten minutes"
	fleetLoss := fleet
	fleetLoss.Name, fleetLoss.PowerLossAt, fleetLoss.Outage = "FleetPowerLoss", 8*time.Second, 1500*time.Millisecond
	fleetLoss.Origin = "the whole fleet when all hosts lose power: 625 engines begin to load before a store that serves 224 at once"
	all := []Pattern{burst, loss, grown, scarce, services, large, largeLoss, fleet, fleetLoss}
	all = append(all, endingPatterns(small)...)
	return append(all, limitedPatterns(large)...)
}

// limitedPatterns returns the patterns in which backend servers limit requests.
func limitedPatterns(large Pattern) []Pattern {
	engines := Pattern{
		Name: "LimitedEngines", Domains: 4, Entries: 4, Engines: 12, Slots: 8, Adapters: 3000, StoreConcurrency: 8, Load: 250 * time.Millisecond,
		Kinds: []Kind{
			{Name: "explain", PerSecond: 22, Target: time.Second, Prompt: 826, Answer: 290},
			{Name: kindReview, PerSecond: 21, Target: time.Second, Rank: 1, Prompt: 9190, Answer: 52},
		},
		Limited: 2, LimitedRate: 1, LimitedAt: 8 * time.Second, LimitedFor: 12 * time.Second,
		Origin: "a recorded day: two of 12 engines name a limit of one request a second, four entries send 43 calls a second",
		WarmUp: 4 * time.Second, Length: 24 * time.Second,
	}
	all := engines
	all.Name, all.Limited, all.LimitedRate = "LimitedService", 12, 2
	all.Origin = "the same with all engines in need: room for 24 of 43 calls a second"
	servers := Pattern{
		Name: "LimitedServers", Domains: 4, Entries: 21, Servers: 4, Places: 6, Queue: 24,
		Kinds:   []Kind{{Name: "status", PerSecond: 40, Target: 150 * time.Millisecond}},
		Limited: 4, LimitedRate: 5, LimitedAt: 4 * time.Second, LimitedFor: 12 * time.Second,
		Origin: "the same at a plain service of four servers, all in need, behind 21 entries",
		WarmUp: 2 * time.Second, Length: 20 * time.Second,
	}
	large.Name, large.Limited, large.LimitedRate, large.LimitedAt, large.LimitedFor = "LargeLimited", 12, 1, 7*time.Second, 7*time.Second
	large.Origin = "a clearance desk in five failure domains, a tenth of its 117 engines in need"
	return []Pattern{engines, all, servers, large}
}

// endingPatterns returns the patterns in which one request crashes the backend servers that
// run it.
func endingPatterns(small Pattern) []Pattern {
	engines := small
	engines.Name, engines.Entries, engines.Slots, engines.StoreConcurrency = "EndingEngines", 4, 8, 8
	engines.Kinds = []Kind{
		{Name: "explain", PerSecond: 22, Target: time.Second, Prompt: 826, Answer: 290},
		{Name: kindReview, PerSecond: 21, Target: time.Second, Rank: 1, Prompt: 9190, Answer: 52},
	}
	engines.CrashRate, engines.CrashesAt, engines.CrashesFor, engines.Restart = 2.5, 6*time.Second, 12*time.Second, 3*time.Second
	engines.Origin = "a recorded day: 27 lives of 12 engines end in 18 seconds under one caller's request, which comes to all entries"
	servers := Pattern{
		Name: "EndingServers", Domains: 4, Entries: 4, Servers: 4, Places: 6, Queue: 24,
		Kinds:     []Kind{{Name: "status", PerSecond: 40, Target: 150 * time.Millisecond}},
		CrashRate: 2.5, CrashesAt: 2 * time.Second, CrashesFor: 12 * time.Second, Restart: 3 * time.Second,
		Origin: "the same at a plain service of four servers: any may have such a request",
		WarmUp: time.Second, Length: 16 * time.Second,
	}
	return []Pattern{engines, servers}
}

// FindPattern returns the pattern with the name, or a not-found error.
func FindPattern(name string) (Pattern, error) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		var names []string
		for _, p := range all {
			names = append(names, p.Name)
		}
		return Pattern{}, errors.NotFoundf("pattern %q among %v", name, names)
	}
	return all[i], nil
}

//go:generate stringer -type=Mechanism -trimprefix=Mechanism

// Mechanism is a part of the decision-making that can be disabled.
type Mechanism int

// The mechanisms.
const (
	// MechanismPacing lowers the number of concurrent loads while the store is slow.
	MechanismPacing Mechanism = iota
	// MechanismWidth lets an engine load four adapters concurrently instead of two.
	MechanismWidth
	// MechanismSlack gives priority to loads that can still complete in time for requests.
	MechanismSlack
	// MechanismUrgency makes engines order prefill by remaining time instead of by rank
	// alone.
	MechanismUrgency
	// MechanismDistance makes placement prefer a call's own failure domain.
	MechanismDistance
	// MechanismStates reports the state of engines to entries.
	MechanismStates
	// MechanismSparing lengthens the report interval with the number of entries; without it
	// all entries get a report every 80 ms.
	MechanismSparing
	// MechanismSendingBack makes engines send back calls that were placed by an outdated
	// state.
	MechanismSendingBack
	// MechanismQuarantine quarantines requests that have crashed three backend servers.
	MechanismQuarantine
	// MechanismFollowing makes entries follow the engines of their own failure domain and few
	// others; without it they follow all.
	MechanismFollowing
	// MechanismThrottling limits the number of calls at backend servers of plain services.
	MechanismThrottling
	// MechanismLimits keeps the limits of requests that backend servers name.
	MechanismLimits
	// MechanismCounting lets one process count the requests of all entries to a backend
	// server that limits requests; without it each entry keeps an equal share.
	MechanismCounting
	mechanisms
)

// FindMechanism returns the mechanism with the name, or a not-found error.
func FindMechanism(name string) (Mechanism, error) {
	var names []string
	for m := range mechanisms {
		if m.String() == name {
			return m, nil
		}
		names = append(names, m.String())
	}
	return 0, errors.NotFoundf("mechanism %q among %v", name, names)
}

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	var all []Mechanism
	for m := range mechanisms {
		all = append(all, m)
	}
	return all
}
