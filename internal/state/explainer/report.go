package explainer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Count is a number of calls or loads with quantiles of their durations, in milliseconds.
type Count struct {
	Calls int
	// Middle is the median.
	Middle float64
	// Longest is the longestQuantile.
	Longest float64
}

// CallRow contains the calls of one route with one outcome and cause.
type CallRow struct {
	Route   string
	Outcome string
	Cause   string
	Count
}

// ReasonRow counts the refusals of one process for one reason.
type ReasonRow struct {
	Node   string
	Reason string
	Calls  int
}

// LoadRow contains the loads of one cause.
type LoadRow struct {
	Cause string
	Count
}

// DomainRow contains the calls to backend servers in the entry's own failure domain, or in
// other ones.
type DomainRow struct {
	// Away means other failure domains.
	Away  bool
	Calls int
	// Bytes is the size of the answers.
	Bytes int64
}

// EndRow describes a request during which more than one incarnation of backend servers ended.
type EndRow struct {
	// Same is the request's identity.
	Same string
	// Lives is the number of incarnations, and Sendings the number of attempts that broke
	// when they ended.
	Lives    int
	Sendings int
}

// PartRow describes a part of prompts during which more than one incarnation of backend
// servers ended.
type PartRow struct {
	// Part is the id of the part.
	Part string
	// Lives is the number of incarnations, and Begun the number of those at which the answer
	// to a request with the part had begun without an event.
	Lives int
	Begun int
	// Answered is the number of answered calls with the part.
	Answered int
}

// Report is the result of the analysis of a log.
type Report struct {
	Ends    []EndRow
	Parts   []PartRow
	Calls   []CallRow
	Reasons []ReasonRow
	Loads   []LoadRow
	Domains []DomainRow
	Lines   int
	Others  int
	Skipped int
	Broken  []string
}

// Report analyzes the log. The lines must be sorted.
func (l *Log) Report() Report {
	r := Report{Lines: len(l.Lines), Others: l.Others, Skipped: l.Skipped}
	for _, b := range l.Broken {
		r.Broken = append(r.Broken, b.String())
	}
	loads := l.loads()
	byAdapter, byCause := make(map[string][]load), make(map[LoadCause][]float64)
	for _, d := range loads {
		byAdapter[d.adapter] = append(byAdapter[d.adapter], d)
		byCause[d.cause] = append(byCause[d.cause], float64(d.took))
	}
	for _, cause := range slices.Sorted(maps.Keys(byCause)) {
		r.Loads = append(r.Loads, LoadRow{Cause: cause.String(), Count: newCount(byCause[cause])})
	}
	l.reportCalls(&r, byAdapter)
	r.Ends = l.suspectRows()
	r.Parts = l.partRows()
	return r
}

// fateEnded is the Fate of a backend server whose incarnation has ended.
const fateEnded = "Ended"

// suspectRows returns the requests during which more than one incarnation ended, in
// descending order of their number. Requests with a single one are omitted: every request in
// progress at a backend server that ends has one.
func (l *Log) suspectRows() []EndRow {
	incarnations, attempts := make(map[string]map[string]struct{}), make(map[string]int)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageAttemptsBroke || line.Fate != fateEnded {
			continue
		}
		for _, identity := range line.requestIdentities() {
			if incarnations[identity] == nil {
				incarnations[identity] = make(map[string]struct{})
			}
			incarnations[identity][line.Backend+"/"+line.Incarnation] = struct{}{}
			attempts[identity]++
		}
	}
	var rows []EndRow
	for identity, ended := range incarnations {
		if len(ended) > 1 {
			rows = append(rows, EndRow{Same: identity, Lives: len(ended), Sendings: attempts[identity]})
		}
	}
	slices.SortFunc(rows, func(a, b EndRow) int {
		return cmp.Or(cmp.Compare(b.Lives, a.Lives), cmp.Compare(a.Same, b.Same))
	})
	return rows
}

// stageBegun is the Stage of an attempt whose answer had begun without an event.
const stageBegun = "Begun"

// partEnds are the incarnations that ended while requests with a part were in progress, all of
// them and those at which an answer had begun without an event.
type partEnds struct{ all, begun map[string]struct{} }

// partRows returns the parts of prompts during which more than one incarnation ended, those
// whose requests were just beginning at the most ends first.
func (l *Log) partRows() []PartRow {
	parts, answered := make(map[string]*partEnds), make(map[string]int)
	for i := range l.Lines {
		line := &l.Lines[i]
		switch {
		case line.Message == messageCall && line.Outcome == outcomeAnswered:
			for _, p := range line.Parts {
				answered[p]++
			}
		case line.Message == messageAttemptsBroke && line.Fate == fateEnded:
			line.addPartEnds(parts)
		}
	}
	var rows []PartRow
	for p, e := range parts {
		if len(e.all) > 1 {
			rows = append(rows, PartRow{Part: p, Lives: len(e.all), Begun: len(e.begun), Answered: answered[p]})
		}
	}
	slices.SortFunc(rows, func(a, b PartRow) int {
		return cmp.Or(cmp.Compare(b.Begun, a.Begun), cmp.Compare(a.Answered, b.Answered), cmp.Compare(b.Lives, a.Lives), cmp.Compare(a.Part, b.Part))
	})
	return rows
}

// addPartEnds adds the end of a backend server to the parts of the attempts that broke.
func (l *Line) addPartEnds(parts map[string]*partEnds) {
	incarnation := l.Backend + "/" + l.Incarnation
	for _, a := range l.Attempts {
		for _, p := range a.Parts {
			if parts[p] == nil {
				parts[p] = &partEnds{all: make(map[string]struct{}), begun: make(map[string]struct{})}
			}
			parts[p].all[incarnation] = struct{}{}
			if a.Stage == stageBegun {
				parts[p].begun[incarnation] = struct{}{}
			}
		}
	}
}

func (l *Log) reportCalls(r *Report, loads map[string][]load) {
	calls, reasons, domains := make(map[CallRow][]float64), make(map[ReasonRow]int), make(map[bool]DomainRow)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageCall {
			continue
		}
		row := CallRow{Route: line.Route, Outcome: line.Outcome, Cause: causeOf(line, loads[line.Adapter]).String()}
		calls[row] = append(calls[row], float64(line.Took))
		if line.Outcome == outcomeRefused {
			reasons[ReasonRow{Node: line.Node, Reason: line.Reason}]++
		}
		if line.Backend != "" {
			d := domains[line.Away]
			domains[line.Away] = DomainRow{Away: line.Away, Calls: d.Calls + 1, Bytes: d.Bytes + line.Bytes}
		}
	}
	for row, times := range calls {
		row.Count = newCount(times)
		r.Calls = append(r.Calls, row)
	}
	slices.SortFunc(r.Calls, func(a, b CallRow) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	for row, n := range reasons {
		row.Calls = n
		r.Reasons = append(r.Reasons, row)
	}
	slices.SortFunc(r.Reasons, func(a, b ReasonRow) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Reason, b.Reason))
	})
	for _, away := range []bool{false, true} {
		if d, ok := domains[away]; ok {
			r.Domains = append(r.Domains, d)
		}
	}
}

// longestQuantile is the quantile of the durations in Count.Longest.
const longestQuantile = 0.9

func newCount(times []float64) Count {
	slices.Sort(times)
	return Count{
		Calls: len(times), Middle: times[len(times)/2],
		Longest: times[min(len(times)-1, int(longestQuantile*float64(len(times))))],
	}
}

// WriteText writes the report as tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\toutcome\tcause\tcalls\tmiddle ms\t9 in 10 ms")
	for _, c := range r.Calls {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\n", c.Route, c.Outcome, c.Cause, c.Calls, c.Middle, c.Longest)
	}
	fmt.Fprintln(w, "\nrefused by\treason\tcalls")
	for _, c := range r.Reasons {
		fmt.Fprintf(w, "%s\t%s\t%d\n", c.Node, c.Reason, c.Calls)
	}
	if len(r.Ends) > 0 {
		fmt.Fprintln(w, "\nbackend servers ended under\tlives\tsendings")
	}
	for _, e := range r.Ends {
		fmt.Fprintf(w, "%s\t%d\t%d\n", e.Same, e.Lives, e.Sendings)
	}
	if len(r.Parts) > 0 {
		fmt.Fprintln(w, "\nbackend servers ended under part\tlives\tbeginning\tanswered")
	}
	for _, p := range r.Parts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", p.Part, p.Lives, p.Begun, p.Answered)
	}
	fmt.Fprintln(w, "\nload\tloads\tmiddle ms\t9 in 10 ms")
	for _, c := range r.Loads {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\n", c.Cause, c.Calls, c.Middle, c.Longest)
	}
	fmt.Fprintln(w, "\nfailure domain\tcalls\tbytes of answers")
	for _, d := range r.Domains {
		name := "own"
		if d.Away {
			name = "another"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, d.Calls, d.Bytes)
	}
	fmt.Fprintf(w, "\n%d lines read, %d without a JSON object, %d skipped\n", r.Lines, r.Others, r.Skipped)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "skipped:", b)
	}
	return w.Flush()
}
