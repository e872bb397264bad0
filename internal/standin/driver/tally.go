package driver

import "time"

// Waits summarise a waiting time that the deployment reports for each call.
type Waits struct {
	// Known counts the completed calls to engines whose answer reports the time, Absent
	// those whose answer does not.
	Known  int64
	Absent int64
	// Above counts the known ones above 0.
	Above int64
	// TotalSeconds is the sum of the known ones; nil if none is known.
	TotalSeconds *float64
	// Millis is the distribution of the known ones, those of 0 included.
	Millis *Quantiles
}

// waitTally aggregates the reported values of a Wait.
type waitTally struct {
	times  *histogram
	above  int64
	absent int64
}

func (w *waitTally) add(wait Wait) {
	if !wait.Known {
		w.absent++
		return
	}
	w.times.add(wait.Length)
	if wait.Length > 0 {
		w.above++
	}
}

func (w *waitTally) figures() Waits {
	f := Waits{Known: w.times.counts.TotalCount(), Absent: w.absent, Above: w.above, Millis: w.times.quantiles()}
	if f.Known > 0 {
		total := seconds(w.times.sum)
		f.TotalSeconds = &total
	}
	return f
}

// EndingCounts counts calls by their ending.
type EndingCounts struct {
	Calls      int64
	Completed  int64
	NotRun     int64
	Unknown    int64
	Cut        int64
	Unanswered int64
	// PastDeadline counts the completed calls whose answer ended after the deadline.
	PastDeadline int64
}

func (e *EndingCounts) add(c *Call, a *Answer) {
	e.Calls++
	switch a.Ending() {
	case Completed:
		e.Completed++
		if a.Ended-c.Intended > c.Deadline {
			e.PastDeadline++
		}
	case NotRun:
		e.NotRun++
	case Unknown:
		e.Unknown++
	case Cut:
		e.Cut++
	case Unanswered:
		e.Unanswered++
	}
}

// group aggregates the figures of one set of calls, such as those of a workspace.
type group struct {
	endings    EndingCounts
	total      *histogram
	firstToken *histogram
	gaps       *histogram
	stall      waitTally
	queue      waitTally
	// failedTime is the total time of the calls that were not completed.
	failedTime time.Duration
}

func newGroup() *group {
	return &group{
		total:      newHistogram(),
		firstToken: newHistogram(),
		gaps:       newHistogram(),
		stall:      waitTally{times: newHistogram()},
		queue:      waitTally{times: newHistogram()},
	}
}

// add counts one answer. Latencies are measured from the intended send time, so that the
// delay of a call that was sent late counts as latency.
func (g *group) add(c *Call, a *Answer) {
	g.endings.add(c, a)
	if a.Ending() != Completed {
		g.failedTime += a.Ended - c.Intended
		return
	}
	g.total.add(a.Ended - c.Intended)
	if c.Kind.isService() {
		return
	}
	g.stall.add(a.Stall)
	g.queue.add(a.Queue)
	if !c.Kind.isStreamed() {
		return
	}
	if a.FirstToken > 0 {
		g.firstToken.add(a.FirstToken - c.Intended)
	}
	for _, gap := range a.Gaps {
		g.gaps.add(gap)
	}
}

func (g *group) figures() GroupFigures {
	return GroupFigures{
		Endings:            g.endings,
		TotalMillis:        g.total.quantiles(),
		FirstTokenMillis:   g.firstToken.quantiles(),
		BetweenTokenMillis: g.gaps.quantiles(),
		Stall:              g.stall.figures(),
		Queue:              g.queue.figures(),
		InVainSeconds:      seconds(g.failedTime),
	}
}

// Tally counts the answers of a run. It is not safe for concurrent use.
type Tally struct {
	// warmUp is the time from which calls are measured.
	warmUp      time.Duration
	warmUpCalls EndingCounts
	all         *group
	workspaces  []*group
	// duringRush and outsideRush hold the total latency of the calls that are not part
	// of the rush, during it and at other times, by workspace.
	duringRush  []*histogram
	outsideRush []*histogram
	kinds       [callKinds]*group
	// lateness is the time between the intended and the actual send time.
	lateness *histogram
	resent   EndingCounts
	causes   map[Cause]int64
	points   series
}

// NewTally returns a tally of a run with the workload, whose series has a point for each
// interval. Calls intended before warmUp are counted separately.
func NewTally(w *Workload, interval, warmUp time.Duration) *Tally {
	t := &Tally{warmUp: warmUp, all: newGroup(), lateness: newHistogram(), causes: make(map[Cause]int64), points: series{interval: interval}}
	for range w.Workspaces {
		t.workspaces = append(t.workspaces, newGroup())
		t.duringRush = append(t.duringRush, newHistogram())
		t.outsideRush = append(t.outsideRush, newHistogram())
	}
	for k := range t.kinds {
		t.kinds[k] = newGroup()
	}
	return t
}

// Add counts the answer to a call.
func (t *Tally) Add(c *Call, a *Answer) {
	t.points.addAnswer(c, a)
	if c.Intended < t.warmUp {
		t.warmUpCalls.add(c, a)
		return
	}
	t.all.add(c, a)
	t.workspaces[c.Workspace].add(c, a)
	t.kinds[c.Kind].add(c, a)
	t.lateness.add(a.Sent - c.Intended)
	if a.Ending() != Completed {
		t.causes[Cause{Ending: a.Ending(), Status: a.Status, Code: a.Code}]++
	}
	if c.Rushing || a.Ending() != Completed || c.Kind.isService() {
		return
	}
	if c.InRush {
		t.duringRush[c.Workspace].add(a.Ended - c.Intended)
	} else {
		t.outsideRush[c.Workspace].add(a.Ended - c.Intended)
	}
}

// AddResent counts the answer to the duplicate of a call.
func (t *Tally) AddResent(c *Call, a *Answer) {
	if c.Intended >= t.warmUp {
		t.resent.add(c, a)
	}
}
