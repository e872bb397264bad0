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
	// faultLease is the configuration lease of fault runs, short so that an entry
	// that is cut off shows within them that it knows.
	faultLease = 4 * time.Second
	// faultBalancerDelay exceeds the interval of the driver's balancer.
	faultBalancerDelay = 600 * time.Millisecond
	// faultServices leaves one plain service when the other leaves.
	faultServices = 2
	// recoveryLimit bounds the time until all is well again after a fault.
	recoveryLimit = 20 * time.Second
	// faultLoad is the length of the load's schedule for one fault, which ends
	// with the fault.
	faultLoad = 12 * time.Second
)

// FaultRun is a run of faults.
type FaultRun struct {
	Run    Run
	Faults []Fault
	// Rounds is how often each fault is produced; 0 means once.
	Rounds int
	// Out takes what each fault gave, as text.
	Out io.Writer
	// IgnoreFencing has engines obey orders whatever their fencing number.
	IgnoreFencing bool
	// Timelines is a folder for the time line of each fault that broke a promise;
	// empty for none.
	Timelines string
}

// faultRun is a FaultRun on a deployment.
type faultRun struct {
	run        Run
	deployment *Deployment
	keys       []driver.WorkspaceKey
	client     *http.Client
	watchers   []*watcher
	racers     []*racer
	// ledger and changes are those of the fault in progress.
	ledger  *ledger
	changes *changes
	// streamCount numbers the long streams, turn chooses followers, cold the cold
	// adapters.
	streamCount int
	turn        int
	cold        int
}

// Do starts a deployment and produces the faults one after the other under load.
// It returns the report as far as it got.
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
	if err := f.racers[0].declare(ctx); err != nil {
		return report, errors.Trace(err)
	}
	for round := range report.Rounds {
		for _, fault := range r.Faults {
			figures, err := f.produce(ctx, fault, round+1)
			report.Faults = append(report.Faults, figures)
			report.Seconds = seconds(time.Since(began))
			if err := figures.WriteText(r.Out); err != nil {
				return report, errors.Trace(err)
			}
			if err := r.keepTimeline(d, &figures); err != nil {
				return report, errors.Trace(err)
			}
			if err != nil {
				return report, errors.Annotate(err, fault.String())
			}
		}
	}
	return report, nil
}

// keepTimeline writes the time line of a fault that broke a promise.
func (r FaultRun) keepTimeline(d *Deployment, g *FaultFigures) error {
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

// settings returns those of the deployment.
func (r FaultRun) settings() Settings {
	s := r.Run.deployment()
	s.Relays = true
	s.Engine.ChecksFencing = !r.IgnoreFencing
	s.Services = max(s.Services, faultServices)
	s.Control.ConfigurationLease = configurer.Duration(faultLease)
	s.Stop.BalancerDelay = configurer.Duration(faultBalancerDelay)
	return s
}

func newFaultRun(r Run, d *Deployment, keys []driver.WorkspaceKey) *faultRun {
	f := &faultRun{run: r, deployment: d, keys: keys, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: attemptLimit}).DialContext, MaxIdleConnsPerHost: streamsPerEntry,
	}}}
	f.changes, f.ledger = &changes{}, newLedger()
	workspace := r.Workload.Workspaces[0].Name
	entries := d.CallerAddresses()
	for i := range operators {
		f.racers = append(f.racers, &racer{
			name: fmt.Sprintf("operator-%d", i+1), addresses: d.OperatorAddresses()[:len(entries)], client: f.client,
			workspace: workspace, baseModel: r.Workload.BaseModel, next: i, changes: f.changes,
		})
	}
	for i, address := range entries {
		f.watchers = append(f.watchers, &watcher{name: d.Names()[i], address: address, key: f.keyOf(workspace), run: f})
	}
	return f
}

// produce runs load, operators and watchers, produces one fault among them, and
// judges. Its error means that the deployment is not fit for a further fault.
func (f *faultRun) produce(ctx context.Context, fault Fault, round int) (FaultFigures, error) {
	figures := FaultFigures{Fault: fault, Round: round}
	began := time.Now()
	f.ledger, f.changes = newLedger(), &changes{}
	before, _, err := f.racers[0].read(ctx)
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
	var driving, operating, looking sync.WaitGroup
	var report *driver.Report
	var loadErr error
	// Each fault has its own calls.
	seed := f.run.Seed*1000 + uint64(f.streamCount)
	driving.Go(func() { report, loadErr = f.drive(load, seed) })
	for _, o := range f.racers {
		o.changes = f.changes
		operating.Go(func() { o.race(ctx, changing) })
	}
	for _, w := range f.watchers {
		w.next, w.late = 0, 0
		looking.Go(func() { w.watch(ctx, watching) })
	}
	s := f.openStreams(ctx)
	o, err := f.carryOut(ctx, fault, s)
	mended := time.Now()
	f.recover(ctx, err)
	figures.RecoverySeconds = seconds(time.Since(mended))
	s.judge(f.ledger, o.promise, o.spared)
	stopChanging()
	operating.Wait()
	f.checkCount(ctx, before)
	f.awaitForce(ctx)
	stopWatching()
	looking.Wait()
	for _, w := range f.watchers {
		if p := f.deployment.Process(w.name); p != nil {
			w.checkInForce(p.Revision())
		}
		w.checkEnd()
	}
	stopLoad()
	driving.Wait()
	now := f.orders()
	f.ledger.checks(OrdersRise, now.all-orders.all, now.stale-orders.stale, "engines obeyed older fencing numbers")
	figures.Detail, figures.Seconds = o.detail, seconds(time.Since(began))
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

// fill takes in what was counted.
func (g *FaultFigures) fill(f *faultRun, s *streams, report *driver.Report) {
	g.Streams = len(s.all)
	for _, c := range s.all {
		g.FirstTokenMaxMillis = max(g.FirstTokenMaxMillis, c.waited.Milliseconds())
		if c.whole() {
			g.StreamsWhole++
		}
	}
	g.Operators, g.Notes = f.changes.figures, f.changes.faults
	g.Promises = f.ledger.tried()
	if report != nil {
		g.Endings, g.CallPromises = report.All.Endings, report.Promises
		g.Notes = append(g.Notes, report.Faults...)
	}
}

// drive runs the load until ctx ends.
func (f *faultRun) drive(ctx context.Context, seed uint64) (*driver.Report, error) {
	r := f.run
	r.Duration, r.Seed, r.Progress = faultLoad, seed, nil
	return r.Drive(ctx, f.deployment, f.keys)
}

// recover waits until every process is ready, a change is accepted and a cold
// adapter answers.
func (f *faultRun) recover(ctx context.Context, cause error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	accepted := len(f.changes.after(0))
	if cause == nil {
		cause = f.deployment.Ready(ctx)
	}
	for cause == nil && len(f.changes.after(accepted)) == 0 {
		if !wait(ctx, watchPause) {
			cause = errors.New("no change is accepted")
		}
	}
	if cause == nil {
		cause = f.askCold(ctx)
	}
	f.ledger.check(Recovers, cause == nil, "%v", cause)
}

// checkCount compares the count with the changes that operators were told are
// accepted: each adds one. Where some were left without an answer, they may have
// added one each.
func (f *faultRun) checkCount(ctx context.Context, before int64) {
	now, _, err := f.racers[0].read(ctx)
	if err != nil {
		f.changes.fail(errors.Annotate(err, "read the count"))
		return
	}
	f.changes.mu.Lock()
	counts, unresolved := f.changes.counts, int64(f.changes.figures.Unresolved)
	f.changes.mu.Unlock()
	added := now - before
	wrong := max(0, counts-added) + max(0, added-counts-unresolved)
	f.ledger.checks(ChangeTakenOnce, counts, wrong, "%d counts were accepted, %d left unresolved, and the count rose by %d", counts, unresolved, added)
}

// awaitForce waits until every entry holds all accepted changes, or would be too
// late.
func (f *faultRun) awaitForce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit+2*watchPause)
	defer cancel()
	highest := uint64(0)
	for _, c := range f.changes.after(0) {
		highest = max(highest, c.revision)
	}
	for {
		lowest, _ := f.deployment.revisions()
		if lowest >= highest || !wait(ctx, watchPause) {
			return
		}
	}
}

// orderCounts count the orders to all engines.
type orderCounts struct {
	all   int64
	stale int64
}

func (f *faultRun) orders() (c orderCounts) {
	for _, e := range f.deployment.Engines() {
		r := e.Record()
		c.all += int64(len(r.Orders))
		c.stale += int64(r.StaleOrders)
	}
	return c
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }
