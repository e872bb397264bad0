package demonstrator

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

const (
	// downTime is the time for which a killed process stays down. cutTime is the
	// duration of a cut: longer than a leader's lease, an election and the time
	// after which a silent connection is closed together.
	downTime = 1500 * time.Millisecond
	cutTime  = 5 * time.Second
	// slowStoreDelay is the delay of data from a slow weight store, degradedTime the
	// time for which loads fail or are slow.
	slowStoreDelay = time.Second
	degradedTime   = 3 * time.Second
	// leavingLimit is the time from the start of a planned stop after which the
	// backend server must not get a new request.
	leavingLimit = 2 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 40 * time.Second
	// loadFailureShare is the probability that a load fails in FailingLoads.
	loadFailureShare = 0.5
)

// faultOutcome is the result of injecting a fault.
type faultOutcome struct {
	// detail names what the fault affected, for the report.
	detail string
	// promise is the promise that the long streams in progress check.
	promise FaultPromise
	// affected names the processes and backend servers that the fault hit. Streams
	// through them are not checked.
	affected []string
}

// unaffected reports whether the fault hit neither the entry nor the backend server
// of the stream.
func (o *faultOutcome) unaffected(s *stream) bool {
	for _, v := range o.affected {
		if v == s.entry || v == s.backend {
			return false
		}
	}
	return true
}

// injectFault injects one fault and ends it.
func (f *faultRun) injectFault(ctx context.Context, fault Fault, s *streams) (faultOutcome, error) {
	switch fault {
	case EngineRestart:
		name := s.busiest()
		f.engine(name).Restart()
		return faultOutcome{name, OthersGoOn, []string{name}}, nil
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
		return f.kill(ctx, f.nextFollower())
	case EntryStop:
		return f.stop(ctx, 0, f.nextFollower())
	case SilentEntry, SilentEngine, SilentControl:
		return f.blackholeConnections(fault), nil
	case FailingLoads, SlowStore:
		return f.degradeLoads(ctx, fault), nil
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
		return f.loseSecondHost(ctx)
	case LeaderAndCompanion:
		leader, err := f.leader(ctx)
		if err != nil {
			return faultOutcome{}, err
		}
		return f.kill(ctx, leader, s.busiest())
	case CutAnswers:
		return f.cutAnswers(ctx), nil
	default:
		panic("demonstrator: unknown fault")
	}
}

const firstService = "service-1"

// engine returns the engine of a companion.
func (f *faultRun) engine(companion string) *generator.Engine {
	return f.deployment.Engines()[companionNumber(companion)-1]
}

// service returns the plain service of a companion.
func (f *faultRun) service(companion string) *responder.Service {
	return f.deployment.Services()[companionNumber(companion)-1]
}

// companionNumber returns the number at the end of a companion's name, and panics
// if there is none.
func companionNumber(companion string) int {
	_, digits, _ := strings.Cut(companion, "-")
	i, err := strconv.Atoi(digits)
	if err != nil {
		panic("demonstrator: companion name without a number")
	}
	return i
}

// leader waits for a control leader and returns the name of its process.
func (f *faultRun) leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for {
		if name := f.deployment.Leader(); name != "" {
			return name, nil
		}
		if !sleep(ctx, pollInterval) {
			return "", errors.New("no control host leads")
		}
	}
}

// nextFollower returns the next entry, in turn, that is not the control leader.
func (f *faultRun) nextFollower() string {
	leader := f.deployment.Leader()
	names := f.deployment.Names()[:len(f.deployment.CallerAddresses())]
	for {
		f.followerTurn++
		if name := names[f.followerTurn%len(names)]; name != leader {
			return name
		}
	}
}

// kill ends processes without a planned stop and restarts them after downTime.
func (f *faultRun) kill(ctx context.Context, names ...string) (faultOutcome, error) {
	o := faultOutcome{strings.Join(names, " and ") + " killed", OthersGoOn, names}
	for _, name := range names {
		if err := f.deployment.Kill(name); err != nil {
			return o, errors.Trace(err)
		}
	}
	sleep(ctx, downTime)
	return o, f.restart(ctx, names...)
}

func (f *faultRun) killLeader(ctx context.Context) (faultOutcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return faultOutcome{}, err
	}
	return f.kill(ctx, leader)
}

func (f *faultRun) stopLeader(ctx context.Context) (faultOutcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return faultOutcome{}, err
	}
	return f.stop(ctx, downTime, leader)
}

// restart starts processes that are down. It retries errors until recoveryTimeout,
// since another socket may temporarily use the address.
func (f *faultRun) restart(ctx context.Context, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, name := range names {
		for {
			err := f.deployment.Restart(name) //nolint:contextcheck // A process outlives the call that starts it.
			if err == nil {
				break
			}
			if !sleep(ctx, groupRetryDelay) {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// stop performs planned stops of processes at the same time, and restarts the
// processes after the time away.
func (f *faultRun) stop(ctx context.Context, away time.Duration, names ...string) (faultOutcome, error) {
	o := faultOutcome{strings.Join(names, " and ") + " stopped as planned", StopCutsNothing, nil}
	began := time.Now()
	var stopping sync.WaitGroup
	for _, name := range names {
		stopping.Go(func() {
			limited, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			err := f.deployment.Stop(limited, name)
			f.findings.check(StopCutsNothing, err == nil, "%s: %v", name, err)
		})
	}
	stopping.Wait()
	o.detail += fmt.Sprintf(" in %.1f s", time.Since(began).Seconds())
	sleep(ctx, away)
	for _, name := range names {
		f.checkLateRequests(name, began)
	}
	return o, f.restart(ctx, names...)
}

// checkLateRequests checks that a backend server got no request later than
// leavingLimit after its planned stop began.
func (f *faultRun) checkLateRequests(name string, began time.Time) {
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
	f.findings.check(LeavingGetsNothing, late == 0, "%s got %d requests later than %v after it began to leave", name, late, leavingLimit)
}

// blackholeConnections blackholes the open connections that the fault concerns.
func (f *faultRun) blackholeConnections(fault Fault) faultOutcome {
	count := f.deployment.network.blackhole(func(from, to string) bool {
		switch fault {
		case SilentEntry:
			return isEntry(from) && !isEntry(to) && !strings.HasSuffix(to, backendSuffix) && to != storeName
		case SilentEngine:
			return strings.HasSuffix(to, backendSuffix)
		default:
			return isEntry(to)
		}
	})
	return faultOutcome{fmt.Sprintf("%d connections", count), SilenceKeepsStreams, nil}
}

func isEntry(name string) bool { return strings.HasPrefix(name, "entry-") }

// degradeLoads makes loads fail or take long for degradedTime.
func (f *faultRun) degradeLoads(ctx context.Context, fault Fault) faultOutcome {
	o := faultOutcome{"all engines", OthersGoOn, nil}
	if fault == SlowStore {
		f.deployment.network.setDelay(enginesName, slowStoreDelay)
		defer f.deployment.network.setDelay(enginesName, 0)
		sleep(ctx, degradedTime)
		return o
	}
	f.setEngineFaults(generator.Faults{LoadFailure: loadFailureShare})
	defer f.setEngineFaults(generator.Faults{})
	sleep(ctx, degradedTime)
	return o
}

// cutAnswers makes plain services cut their answers for degradedTime, in each of several ways
// for a part of it. It leaves out an orderly end of an answer without framing, which shows
// nowhere that it is cut.
func (f *faultRun) cutAnswers(ctx context.Context) faultOutcome {
	const all = math.MaxInt
	ways := []responder.Faults{
		{CutAnswers: all, CutAfter: 20},
		{CutAnswers: all, CutAfter: 20, CutByReset: true},
		{Unframed: true, CutAnswers: all, CutAfter: 20, CutByReset: true},
		{Unframed: true},
	}
	for _, way := range ways {
		f.setServiceFaults(way)
		sleep(ctx, degradedTime/time.Duration(len(ways)))
	}
	f.setServiceFaults(responder.Faults{})
	return faultOutcome{"all plain services", OthersGoOn, nil}
}

// setServiceFaults sets the faults that all plain services inject.
func (f *faultRun) setServiceFaults(faults responder.Faults) {
	for _, s := range f.deployment.Services() {
		s.Inject(faults)
	}
}

// setEngineFaults sets the faults that all engines inject.
func (f *faultRun) setEngineFaults(faults generator.Faults) {
	for _, e := range f.deployment.Engines() {
		e.Inject(faults)
	}
}

// cutLeader holds back traffic of the leader's host for cutTime.
func (f *faultRun) cutLeader(ctx context.Context, c cut) (faultOutcome, error) {
	leader, err := f.leader(ctx)
	if err != nil {
		return faultOutcome{}, err
	}
	f.deployment.network.setCut(leader, c)
	sleep(ctx, cutTime)
	f.deployment.network.setCut(leader, cut{})
	return faultOutcome{leader + " cut off", OthersGoOn, []string{leader}}, nil
}

// loseDisk kills a control host that is not the leader and replaces it under a new
// identity. It also returns the name of the host.
func (f *faultRun) loseDisk(ctx context.Context) (faultOutcome, string, error) {
	name := f.nextFollower()
	o := faultOutcome{name + " replaced", OthersGoOn, []string{name}}
	if err := f.deployment.Kill(name); err != nil {
		return o, name, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	return o, name, errors.Trace(f.deployment.ReplaceControl(ctx, name))
}

// loseSecondHost kills another control host right after a replacement.
func (f *faultRun) loseSecondHost(ctx context.Context) (faultOutcome, error) {
	o, first, err := f.loseDisk(ctx)
	if err != nil {
		return o, err
	}
	second := f.nextFollower()
	for second == first {
		second = f.nextFollower()
	}
	killed, err := f.kill(ctx, second)
	return faultOutcome{o.detail + ", then " + killed.detail, OthersGoOn, append(o.affected, second)}, err
}
