package demonstrator

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

const (
	// configurationLease is short, so that an entry that is cut off becomes unready
	// within the time of a cut.
	configurationLease = 4 * time.Second
	// balancerDelay exceeds the interval at which the driver's balancer polls
	// readiness.
	balancerDelay = 600 * time.Millisecond
	// minServices is the least number of plain services, so that one remains when
	// another leaves.
	minServices = 2
	// recoveryTimeout bounds the time until the deployment has recovered from a
	// fault.
	recoveryTimeout = 20 * time.Second
	// faultLoadDuration is the length of the load's schedule for one fault. The load
	// ends early when the fault is done.
	faultLoadDuration = 12 * time.Second
)

// FaultRun describes a run that injects faults into a deployment under load.
type FaultRun struct {
	Run    Run
	Faults []Fault
	// Rounds is the number of times that the list of faults is run; 0 means once.
	Rounds int
	// Out receives the figures of each fault as text.
	Out io.Writer
	// IgnoreFencing makes engines obey orders regardless of their fencing number.
	IgnoreFencing bool
	// Timelines is the folder to which the time line of each fault that broke a
	// promise is written; empty means that none is written.
	Timelines string
}

// faultRun is the state of a FaultRun on a running deployment.
type faultRun struct {
	run             Run
	deployment      *Deployment
	keys            []driver.WorkspaceKey
	client          *http.Client
	watchers        []*watcher
	operatorClients []*operatorClient
	// findings and changes are those of the fault in progress.
	findings *findings
	changes  *changes
	// streamCount numbers the streams; followerTurn and coldCount choose the next
	// follower and the next adapter that is probably not resident.
	streamCount  int
	followerTurn int
	coldCount    int
}

// Do starts a deployment and injects the faults one after the other under load.
// On an error it also returns the report of the faults so far.
func (r FaultRun) Do(ctx context.Context) (*FaultReport, error) {
	report := &FaultReport{Format: FaultReportFormat, Workload: r.Run.Workload.Name, Seed: r.Run.Seed, Rounds: max(1, r.Rounds)}
	began := time.Now()
	d, err := NewDeployment(r.settings()) //nolint:contextcheck // Close ends it.
	if err != nil {
		return report, errors.Trace(err)
	}
	defer d.Close()
	keys, err := r.Run.declare(ctx, d, r.Out)
	if err != nil {
		return report, errors.Trace(err)
	}
	f := newFaultRun(r.Run, d, keys)
	defer f.client.CloseIdleConnections()
	if err := f.operatorClients[0].declare(ctx); err != nil {
		return report, errors.Trace(err)
	}
	for round := range report.Rounds {
		for _, fault := range r.Faults {
			figures, err := f.runFault(ctx, fault, round+1)
			report.Faults = append(report.Faults, figures)
			report.Seconds = seconds(time.Since(began))
			if err := figures.WriteText(r.Out); err != nil {
				return report, errors.Trace(err)
			}
			if err := r.writeTimeline(d, &figures); err != nil {
				return report, errors.Trace(err)
			}
			if err != nil {
				return report, errors.Annotate(err, fault.String())
			}
		}
	}
	return report, nil
}

// writeTimeline writes the time line of a fault to a file if the fault broke a
// promise.
func (r FaultRun) writeTimeline(d *Deployment, g *FaultFigures) error {
	t := d.Timeline()
	if r.Timelines == "" || g.broken() == 0 {
		return nil
	}
	f, err := os.Create(filepath.Join(r.Timelines, fmt.Sprintf("%s-%d.txt", g.Fault, g.Round)))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(stderrors.Join(t.WriteText(f), f.Close()))
}

// settings returns the settings of the deployment for this run.
func (r FaultRun) settings() Settings {
	s := r.Run.deploymentSettings()
	s.Relays = true
	s.Engine.ChecksFencing = !r.IgnoreFencing
	s.Services = max(s.Services, minServices)
	s.Control.ConfigurationLease = configurer.Duration(configurationLease)
	s.Stop.BalancerDelay = configurer.Duration(balancerDelay)
	return s
}

func newFaultRun(r Run, d *Deployment, keys []driver.WorkspaceKey) *faultRun {
	f := &faultRun{run: r, deployment: d, keys: keys, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: attemptTimeout}).DialContext, MaxIdleConnsPerHost: streamsPerEntry,
	}}}
	f.changes, f.findings = &changes{}, newFindings()
	workspace := r.Workload.Workspaces[0].Name
	entries := d.CallerAddresses()
	for i := range operatorCount {
		f.operatorClients = append(f.operatorClients, &operatorClient{
			name: fmt.Sprintf("operator-%d", i+1), addresses: d.OperatorAddresses()[:len(entries)], client: f.client,
			workspace: workspace, baseModel: r.Workload.BaseModel, lastAddress: i, changes: f.changes,
		})
	}
	for i, address := range entries {
		f.watchers = append(f.watchers, &watcher{name: d.Names()[i], address: address, key: f.keyOf(workspace), run: f})
	}
	return f
}

// runFault runs load, operators and watchers, injects one fault meanwhile, and
// checks the promises. An error means that the deployment cannot be used for a
// further fault.
func (f *faultRun) runFault(ctx context.Context, fault Fault, round int) (FaultFigures, error) {
	figures := FaultFigures{Fault: fault, Round: round}
	start := time.Now()
	f.findings, f.changes = newFindings(), &changes{}
	before, _, err := f.operatorClients[0].read(ctx)
	if err != nil {
		return figures, errors.Trace(err)
	}
	orders := f.orders()
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var loadDone, operatorsDone, watchersDone sync.WaitGroup
	var report *driver.Report
	var loadErr error
	// The seed differs between faults, so that each has different calls.
	seed := f.run.Seed*1000 + uint64(f.streamCount)
	loadDone.Go(func() { report, loadErr = f.drive(load, seed) })
	for _, o := range f.operatorClients {
		o.changes = f.changes
		operatorsDone.Go(func() { o.runChanges(ctx, changing) })
	}
	for _, w := range f.watchers {
		w.inForceCount, w.lateCount = 0, 0
		watchersDone.Go(func() { w.watch(ctx, watching) })
	}
	s := f.openStreams(ctx)
	o, err := f.injectFault(ctx, fault, s)
	faultEnd := time.Now()
	f.recover(ctx, err)
	figures.RecoverySeconds = seconds(time.Since(faultEnd))
	s.checkComplete(f.findings, o.promise, o.unaffected)
	stopChanging()
	operatorsDone.Wait()
	f.checkCount(ctx, before)
	f.waitInForce(ctx)
	stopWatching()
	watchersDone.Wait()
	for _, w := range f.watchers {
		if p := f.deployment.Process(w.name); p != nil {
			w.checkInForce(p.Revision())
		}
		w.checkEnd()
	}
	stopLoad()
	loadDone.Wait()
	now := f.orders()
	f.findings.checkMany(OrdersRise, now.all-orders.all, now.stale-orders.stale, "engines obeyed older fencing numbers")
	figures.Detail, figures.Seconds = o.detail, seconds(time.Since(start))
	figures.fill(f, s, report)
	return figures, errors.Trace(firstError(ctx.Err(), loadErr))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// fill sets the figures from the counts of the run, the streams and the load's
// report; report may be nil.
func (g *FaultFigures) fill(f *faultRun, s *streams, report *driver.Report) {
	g.Streams = len(s.all)
	for _, c := range s.all {
		g.FirstTokenMaxMillis = max(g.FirstTokenMaxMillis, c.firstTokenDelay.Milliseconds())
		if c.complete() {
			g.StreamsWhole++
		}
	}
	g.Operators, g.Notes = f.changes.figures, f.changes.errorTexts
	g.Promises = f.findings.tried()
	if report != nil {
		g.Endings, g.CallPromises = report.All.Endings, report.Promises
		g.Notes = append(g.Notes, report.Faults...)
	}
}

// drive runs the load until ctx ends.
func (f *faultRun) drive(ctx context.Context, seed uint64) (*driver.Report, error) {
	r := f.run
	r.Duration, r.Seed, r.Progress = faultLoadDuration, seed, nil
	return r.Drive(ctx, f.deployment, f.keys)
}

// recover waits until every process is ready, a change is accepted and an
// adapter that is probably not resident answers, and checks Recovers. A non-nil
// cause is a failure to inject or end the fault, and breaks the promise at once.
func (f *faultRun) recover(ctx context.Context, cause error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	accepted := len(f.changes.after(0))
	if cause == nil {
		cause = f.deployment.Ready(ctx)
	}
	for cause == nil && len(f.changes.after(accepted)) == 0 {
		if !sleep(ctx, pollInterval) {
			cause = errors.New("no change is accepted")
		}
	}
	if cause == nil {
		cause = f.callColdAdapter(ctx)
	}
	f.findings.check(Recovers, cause == nil, "%v", cause)
}

// checkCount compares the rise of the count since before with the increments that
// were reported to operators as accepted. Each change without a definite answer
// may have added one more.
func (f *faultRun) checkCount(ctx context.Context, before int64) {
	now, _, err := f.operatorClients[0].read(ctx)
	if err != nil {
		f.changes.addError(errors.Annotate(err, "read the count"))
		return
	}
	f.changes.mu.Lock()
	increments, unresolved := f.changes.increments, int64(f.changes.figures.Unresolved)
	f.changes.mu.Unlock()
	added := now - before
	wrong := max(0, increments-added) + max(0, added-increments-unresolved)
	f.findings.checkMany(ChangeTakenOnce, increments, wrong, "%d counts were accepted, %d left unresolved, and the count rose by %d", increments, unresolved, added)
}

// waitInForce waits until every running entry has applied all accepted changes,
// but not longer than they may take to come into force.
func (f *faultRun) waitInForce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit+2*pollInterval)
	defer cancel()
	highest := uint64(0)
	for _, c := range f.changes.after(0) {
		highest = max(highest, c.revision)
	}
	for {
		lowest, _ := f.deployment.revisions()
		if lowest >= highest || !sleep(ctx, pollInterval) {
			return
		}
	}
}

// orderCounts holds the numbers of orders to all engines: all of them, and those
// obeyed with a fencing number older than an earlier one.
type orderCounts struct {
	all   int64
	stale int64
}

// orders returns the sums over all engines.
func (f *faultRun) orders() (c orderCounts) {
	for _, e := range f.deployment.Engines() {
		r := e.Record()
		c.all += int64(len(r.Orders))
		c.stale += int64(r.StaleOrders)
	}
	return c
}

// seconds returns d in seconds, rounded to milliseconds.
func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }
