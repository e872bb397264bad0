package demonstrator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

const (
	// downTime is the time for which a killed process stays down, cutTime that of
	// a cut: longer than a leader's lease, an election and the silence limit of
	// connections together.
	downTime = 1500 * time.Millisecond
	cutTime  = 5 * time.Second
	// slowDelay is the delay of a slow weight store, unwellTime the time for which
	// loads fail or are slow.
	slowDelay  = time.Second
	unwellTime = 3 * time.Second
	// leavingLimit is the time from the start of a planned stop after which the
	// backend server must get nothing new.
	leavingLimit = 2 * time.Second
	// stopLimit bounds a planned stop.
	stopLimit = 40 * time.Second
	// loadFailure is the part of loads that fail in FailingLoads.
	loadFailure = 0.5
)

// outcome is what a fault did.
type outcome struct {
	detail string
	// promise is what the long streams in progress prove.
	promise FaultPromise
	// victims names the processes and backend servers that were hit: streams
	// through them prove nothing.
	victims []string
}

// spared returns whether no part of the stream's way was hit.
func (o *outcome) spared(s *stream) bool {
	for _, v := range o.victims {
		if v == s.entry || v == s.backend {
			return false
		}
	}
	return true
}

// carryOut produces one fault and mends it.
func (f *faultRun) carryOut(ctx context.Context, fault Fault, s *streams) (outcome, error) {
	switch fault {
	case EngineRestart:
		name := s.busiest()
		f.engine(name).Restart()
		return outcome{name, OthersGoOn, []string{name}}, nil
	case CompanionKill:
		return f.kill(ctx, s.busiest())
	case CompanionStop:
		return f.stop(ctx, 0, s.busiest())
	case BackendLeaves:
		return f.stop(ctx, downTime, s.busiest(), firstService)
	case LeaderKill:
		return f.killLeader(ctx)
	case LeaderStop:
		return f.stopLeader(ctx)
	case EntryKill:
		return f.kill(ctx, f.follower())
	case EntryStop:
		return f.stop(ctx, 0, f.follower())
	case SilentEntry, SilentEngine, SilentControl:
		return f.silence(fault), nil
	case FailingLoads, SlowStore:
		return f.hamperLoads(ctx, fault), nil
	case LeaderCut:
		return f.cutLeader(ctx, cut{outbound: true, inbound: true})
	case LeaderCutOutbound:
		return f.cutLeader(ctx, cut{outbound: true})
	case LeaderCutInbound:
		return f.cutLeader(ctx, cut{inbound: true})
	case LostDisk:
		o, _, err := f.loseDisk(ctx)
		return o, err
	case SecondLoss:
		return f.loseSecond(ctx)
	case LeaderAndCompanion:
		leader, err := f.leader(ctx)
		if err != nil {
			return outcome{}, err
		}
		return f.kill(ctx, leader, s.busiest())
	default:
		panic("demonstrator: unknown fault")
	}
}

const firstService = "service-1"

// engine returns the engine beside a companion.
func (f *faultRun) engine(companion string) *generator.Engine {
	return f.deployment.Engines()[numberOf(companion)-1]
}

// service returns the plain service beside a companion.
func (f *faultRun) service(companion string) *responder.Service {
	return f.deployment.Services()[numberOf(companion)-1]
}

// numberOf returns the number at the end of a companion's name.
func numberOf(companion string) int {
	_, digits, _ := strings.Cut(companion, "-")
	i, err := strconv.Atoi(digits)
	if err != nil {
		panic("demonstrator: name of a companion without its number")
	}
	return i
}

// leader waits for a leader and returns its name.
func (f *faultRun) leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for {
		if name := f.deployment.Leader(); name != "" {
			return name, nil
		}
		if !wait(ctx, watchPause) {
			return "", errors.New("no control host leads")
		}
	}
}

// follower returns an entry that does not lead, another one each time.
func (f *faultRun) follower() string {
	leader := f.deployment.Leader()
	names := f.deployment.Names()[:len(f.deployment.CallerAddresses())]
	for {
		f.turn++
		if name := names[f.turn%len(names)]; name != leader {
			return name
		}
	}
}

// kill ends processes at once and starts them again after a while.
func (f *faultRun) kill(ctx context.Context, names ...string) (outcome, error) {
	o := outcome{strings.Join(names, " and ") + " killed", OthersGoOn, names}
	for _, name := range names {
		if err := f.deployment.Kill(name); err != nil {
			return o, errors.Trace(err)
		}
	}
	wait(ctx, downTime)
	return o, f.restart(ctx, names...)
}

func (f *faultRun) killLeader(ctx context.Context) (outcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return outcome{}, err
	}
	return f.kill(ctx, leader)
}

func (f *faultRun) stopLeader(ctx context.Context) (outcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return outcome{}, err
	}
	return f.stop(ctx, downTime, leader)
}

// restart starts processes that are down. Another socket may have got the
// address for a moment.
func (f *faultRun) restart(ctx context.Context, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for _, name := range names {
		for {
			err := f.deployment.Restart(name) //nolint:contextcheck // A process outlives the call that starts it.
			if err == nil {
				break
			}
			if !wait(ctx, groupPause) {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// stop ends processes as planned, and starts them again after a while.
func (f *faultRun) stop(ctx context.Context, away time.Duration, names ...string) (outcome, error) {
	o := outcome{strings.Join(names, " and ") + " stopped as planned", StopCutsNothing, nil}
	began := time.Now()
	var stopping sync.WaitGroup
	for _, name := range names {
		stopping.Go(func() {
			limited, cancel := context.WithTimeout(ctx, stopLimit)
			defer cancel()
			err := f.deployment.Stop(limited, name)
			f.ledger.check(StopCutsNothing, err == nil, "%s: %v", name, err)
		})
	}
	stopping.Wait()
	o.detail += fmt.Sprintf(" in %.1f s", time.Since(began).Seconds())
	wait(ctx, away)
	for _, name := range names {
		f.checkLeft(name, began)
	}
	return o, f.restart(ctx, names...)
}

// checkLeft looks for what a backend server got long after its leaving began.
func (f *faultRun) checkLeft(name string, began time.Time) {
	late := 0
	switch {
	case strings.HasPrefix(name, "engine-"):
		for _, r := range f.engine(name).Record().Runs {
			if r.Accepted.Sub(began) > leavingLimit {
				late++
			}
		}
	case strings.HasPrefix(name, "service-"):
		for _, r := range f.service(name).Record().Runs {
			if r.Started.Sub(began) > leavingLimit {
				late++
			}
		}
	default:
		return
	}
	f.ledger.check(LeavingGetsNothing, late == 0, "%s got %d requests later than %v after it began to leave", name, late, leavingLimit)
}

// silence has connections that are open now deliver nothing more.
func (f *faultRun) silence(fault Fault) outcome {
	count := f.deployment.network.forget(func(from, to string) bool {
		switch fault {
		case SilentEntry:
			return isEntry(from) && !isEntry(to) && !strings.HasSuffix(to, backendSuffix) && to != storeName
		case SilentEngine:
			return strings.HasSuffix(to, backendSuffix)
		default:
			return isEntry(to)
		}
	})
	return outcome{fmt.Sprintf("%d connections", count), SilenceKeepsStreams, nil}
}

func isEntry(name string) bool { return strings.HasPrefix(name, "entry-") }

// hamperLoads has loads fail or take long for a while.
func (f *faultRun) hamperLoads(ctx context.Context, fault Fault) outcome {
	o := outcome{"all engines", OthersGoOn, nil}
	if fault == SlowStore {
		f.deployment.network.setDelay(enginesName, slowDelay)
		defer f.deployment.network.setDelay(enginesName, 0)
		wait(ctx, unwellTime)
		return o
	}
	f.inject(generator.Faults{LoadFailure: loadFailure})
	defer f.inject(generator.Faults{})
	wait(ctx, unwellTime)
	return o
}

func (f *faultRun) inject(faults generator.Faults) {
	for _, e := range f.deployment.Engines() {
		e.Inject(faults)
	}
}

// cutLeader cuts the leader's host off for a while.
func (f *faultRun) cutLeader(ctx context.Context, c cut) (outcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return outcome{}, err
	}
	f.deployment.network.setCut(leader, c)
	wait(ctx, cutTime)
	f.deployment.network.setCut(leader, cut{})
	return outcome{leader + " cut off", OthersGoOn, []string{leader}}, nil
}

// loseDisk replaces a control host under a new identity.
func (f *faultRun) loseDisk(ctx context.Context) (outcome, string, error) {
	name := f.follower()
	o := outcome{name + " replaced", OthersGoOn, []string{name}}
	if err := f.deployment.Kill(name); err != nil {
		return o, name, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	return o, name, errors.Trace(f.deployment.ReplaceControl(ctx, name))
}

// loseSecond kills another control host right after a repair.
func (f *faultRun) loseSecond(ctx context.Context) (outcome, error) {
	o, first, err := f.loseDisk(ctx)
	if err != nil {
		return o, err
	}
	second := f.follower()
	for second == first {
		second = f.follower()
	}
	killed, err := f.kill(ctx, second)
	return outcome{o.detail + ", then " + killed.detail, OthersGoOn, append(o.victims, second)}, err
}
