package driver

import (
	"time"
)

// maxFaults limits the number of errors in a report.
const maxFaults = 20

// collector aggregates the results of a run in one goroutine.
type collector struct {
	settings *Settings
	checker  *Checker
	tally    *Tally
	faults   []string
}

func newCollector(s *Settings) *collector {
	return &collector{settings: s, checker: NewChecker(!s.SkipTextCheck), tally: NewTally(&s.Workload, s.Interval, s.WarmUp)}
}

// collectAll adds results and samples until both channels are closed.
func (c *collector) collectAll(d *Driver) {
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
			c.reportProgress(d)
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
		c.addFault(r.answer.Failure)
	}
}

func (c *collector) addSample(s *sample) {
	if s.err != nil {
		c.addFault(s.err.Error())
		return
	}
	c.tally.points.at(s.at).BatchFill = s.fill
}

func (c *collector) addFault(text string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, text)
	}
}

func (c *collector) reportProgress(d *Driver) {
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

// records are the observations before and after a run.
type observations struct {
	before Observation
	// warm is the observation at the end of the warm-up.
	warm    Observation
	after   Observation
	failure error
	start   time.Time
}

// report returns the report of a finished run.
func (c *collector) report(obs *observations, length time.Duration, stopped bool) *Report {
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
	if obs.failure == nil {
		engines, services := obs.after.recordsSince(&obs.before)
		c.checker.CrossCheck(engines, services)
		r.Engines = engineFigures(&obs.warm, &obs.after, s.NeededWithin)
		if len(engines) > 0 {
			c.tally.points.addOrders(obs.start, engines)
		}
	} else {
		c.addFault(obs.failure.Error())
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
