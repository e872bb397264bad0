package driver

import (
	"time"
)

// maxFaults bounds the errors that a report keeps.
const maxFaults = 20

// collector takes in all results of a run, in one goroutine.
type collector struct {
	settings *Settings
	checker  *Checker
	tally    *Tally
	faults   []string
}

func newCollector(s *Settings) *collector {
	return &collector{settings: s, checker: NewChecker(!s.SkipTextCheck), tally: NewTally(&s.Workload, s.Interval, s.WarmUp)}
}

// collect takes in results and samples until both channels are closed.
func (c *collector) collect(d *Driver) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	results, samples := d.results, d.samples
	for results != nil || samples != nil {
		select {
		case r, ok := <-results:
			if !ok {
				results = nil
				continue
			}
			c.add(&r)
		case s, ok := <-samples:
			if !ok {
				samples = nil
				continue
			}
			c.addSample(&s)
		case <-ticker.C:
			c.tell(d)
		}
	}
}

func (c *collector) add(r *result) {
	c.checker.Add(&r.call, &r.answer)
	if r.resent {
		c.tally.AddResent(&r.call, &r.answer)
	} else {
		c.tally.Add(&r.call, &r.answer)
	}
	if r.answer.Failure != "" {
		c.fault(r.answer.Failure)
	}
}

func (c *collector) addSample(s *sample) {
	if s.err != nil {
		c.fault(s.err.Error())
		return
	}
	c.tally.points.at(s.at).BatchFill = s.fill
}

func (c *collector) fault(text string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, text)
	}
}

func (c *collector) tell(d *Driver) {
	if c.settings.Progress == nil {
		return
	}
	r := Report{Promises: c.checker.Figures()}
	c.settings.Progress(Progress{
		Elapsed:  d.now(),
		Duration: c.settings.Schedule.Duration,
		Sent:     d.sent.Load(),
		Ended:    c.tally.all.endings,
		Broken:   r.Broken(),
	})
}

// records are what was observed before and after a run.
type records struct {
	before Observation
	// warm is what was observed when the measuring began.
	warm    Observation
	after   Observation
	failure error
	start   time.Time
}

// report returns the report of a run that is over.
func (c *collector) report(seen *records, length time.Duration, stopped bool) *Report {
	s := c.settings
	r := &Report{
		Format:     ReportFormat,
		Workload:   s.Workload.Name,
		Label:      s.Label,
		Parameters: parameters(s),
		Sizes:      sizes(s),
		Seconds:    seconds(length),
		Stopped:    stopped,
	}
	if seen.failure == nil {
		engines, services := seen.after.since(&seen.before)
		c.checker.CrossCheck(engines, services)
		r.Engines = engineFigures(&seen.warm, &seen.after, s.NeededWithin)
		if len(engines) > 0 {
			c.tally.points.addOrders(seen.start, engines)
		}
	} else {
		c.fault(seen.failure.Error())
	}
	c.tally.Report(&s.Workload, r)
	r.Promises = c.checker.Figures()
	r.Faults = c.faults
	return r
}

func parameters(s *Settings) Parameters {
	w := &s.Workload
	return Parameters{
		Seed:            s.Schedule.Seed,
		DurationSeconds: seconds(s.Schedule.Duration),
		WarmUpSeconds:   seconds(s.WarmUp),
		TimeScale:       s.Schedule.TimeScale,
		RateScale:       s.Schedule.RateScale,
		MaxCalls:        s.Schedule.MaxCalls,
		MaxInFlight:     s.MaxInFlight,
		Balance:         s.Balance,
		CheckText:       !s.SkipTextCheck,
		Rate:            w.Rate,
		ZipfExponent:    w.ZipfExponent,
		ShiftAt:         w.ShiftAt,
		RushWorkspace:   w.Rush.Workspace,
		RushFrom:        w.Rush.From,
		RushTo:          w.Rush.To,
		RushRate:        w.Rush.Rate,
		RushAdapters:    w.Rush.Adapters,
	}
}

func sizes(s *Settings) Sizes {
	z := Sizes{Workspaces: len(s.Workload.Workspaces), Adapters: s.Workload.Adapters(), Entries: len(s.Entries)}
	for _, o := range s.Observed {
		switch o.(type) {
		case LocalEngine, RemoteEngine, RemoteCompanion:
			z.Engines++
		case LocalService, RemoteService:
			z.Services++
		}
	}
	return z
}
