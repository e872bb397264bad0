package modeler

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Kind is one kind of call.
type Kind struct {
	Name string
	// PerSecond is the mean number of calls, and Target the time wanted to the first
	// event, or of the whole answer of a plain call.
	PerSecond float64
	Target    time.Duration
	Rank      int
	// Prompt and Answer are mean sizes in tokens; 0 means a plain call.
	Prompt, Answer int
}

// Pattern is a load on a deployment. Its figures are the users' own, from their
// deployments' sheets and from the logs of their heaviest days.
type Pattern struct {
	Name string
	// Grounds tells where the figures come from.
	Origin string
	Kinds  []Kind

	Domains, Entries, Engines int
	// Slots are an engine's adapter slots, and Adapters those that are asked for, whose
	// popularity falls off as their rank to the power of 1.2.
	Slots, Adapters int
	// AtOnce is the number of loads that the store serves at full speed, and Load the
	// time of one alone.
	StoreConcurrency int
	Load             time.Duration
	// Servers are those of the plain service, with Places and a Queue each, and Leaving
	// of them leave at LeaveAt.
	Servers, Places, Queue, Leaving int
	LeaveAt                         time.Duration
	// Burst multiplies the calls from BurstAt on for BurstTime.
	Burst              float64
	BurstAt, BurstTime time.Duration
	// LossAt is when all hosts lose power, to be back after Dark; 0 means never.
	PowerLossAt, Outage time.Duration
	// Ending is how often a second one caller sends the request that ends each backend
	// server that begins to run it, from EndingAt on for EndingTime; the backend server
	// is back, empty, after Restart. It goes to the plain service where there are no
	// engines.
	CrashRate                      float64
	CrashesAt, CrashesFor, Restart time.Duration
	// Warm is the time before anything is counted, and Length all of the time.
	WarmUp, Length time.Duration
}

// kindReview is the kind of call with a long prompt.
const kindReview = "review"

// switchingKinds are the kinds of calls of a firm that switches households' electricity
// suppliers, as a share of its standard day.
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
	return append([]Pattern{burst, loss, grown, scarce, services, large, largeLoss}, endingPatterns(small)...)
}

// endingPatterns are those in which one request ends the backend servers that run it.
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

// FindPattern returns the pattern of a name.
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

// Mechanism is a part of the decisions that can be switched off.
type Mechanism int

// The mechanisms.
const (
	// MechanismPacing narrows loads while they are slowed.
	MechanismPacing Mechanism = iota
	// MechanismWidth lets an engine load four adapters at once; without it two.
	MechanismWidth
	// MechanismSlack has loads go first that requests can still have in time.
	MechanismSlack
	// MechanismUrgency has engines read prompts by slack; without it by rank alone.
	MechanismUrgency
	// MechanismDistance keeps calls in their failure domain.
	MechanismDistance
	// MechanismStates tells entries what engines hold.
	MechanismStates
	// MechanismSparing tells many entries seldomer; without it all within 80 ms.
	MechanismSparing
	// MechanismSendingBack has calls go elsewhere whose entry was misled by an old state.
	MechanismSendingBack
	// MechanismQuarantine keeps requests from backend servers under which three ended.
	MechanismQuarantine
	// MechanismThrottling bounds the calls at plain services.
	MechanismThrottling
	mechanisms
)

// FindMechanism returns the mechanism of a name.
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
