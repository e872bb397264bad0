package auditor_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/auditor"
)

// TestAttemptsCountsLastingServers guards against an audit that counts backend servers that ended
// before the last run, or misses those that lived on.
func TestAttemptsCountsLastingServers(t *testing.T) {
	start := time.Unix(0, 0)
	for _, test := range []struct {
		name  string
		limit int
		runs  []string
		// ends are the times in seconds after the first run at which the first servers end; runs
		// begin a second apart.
		ends []int
		want string
	}{
		{name: "one server", limit: 1, runs: []string{"a"}, want: "[]"},
		{name: "the same server again", limit: 1, runs: []string{"a", "a"}, want: "[]"},
		{name: "a second server", limit: 1, runs: []string{"a", "b"}, want: "[c ran at a, b; 1 allowed]"},
		{name: "after the first ended", limit: 1, runs: []string{"a", "b"}, ends: []int{1}, want: "[]"},
		{name: "before the first ended", limit: 1, runs: []string{"a", "b"}, ends: []int{2}, want: "[c ran at a, b; 1 allowed]"},
		{name: "no limit", limit: 0, runs: []string{"a", "b"}, want: "[c ran at a, b; 1 allowed]"},
		{name: "two of two, one ended", limit: 2, runs: []string{"a", "b", "d"}, ends: []int{1}, want: "[]"},
	} {
		var a auditor.Attempts
		a.Request("c", test.limit)
		for i, s := range test.runs {
			a.Run(start.Add(time.Duration(i)*time.Second), "c", s)
		}
		for i, seconds := range test.ends {
			a.End(start.Add(time.Duration(seconds)*time.Second), test.runs[i])
		}
		if got := fmt.Sprint(a.Excess()); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

// TestTimeLeftFindsExcess guards against an audit that misses an attempt with more time than the
// first one and the caller have, or counts one that exceeds only one of them.
func TestTimeLeftFindsExcess(t *testing.T) {
	start := time.Unix(0, 0)
	for _, test := range []struct {
		name string
		// arrivals are the times of the arrivals after the request and the time left that they are
		// given, in milliseconds; the deadline is 1000 ms.
		arrivals [][2]int
		want     auditor.TimeLeftReport
	}{
		{name: "in time", arrivals: [][2]int{{10, 990}, {700, 300}}, want: auditor.TimeLeftReport{Late: 1}},
		{name: "more than the caller has", arrivals: [][2]int{{10, 1501}}, want: auditor.TimeLeftReport{Exceeding: 1, Worst: 501 * time.Millisecond}},
		{name: "no time", arrivals: [][2]int{{10, 0}}, want: auditor.TimeLeftReport{Exceeding: 1}},
		{name: "late with the time of the first", arrivals: [][2]int{{10, 990}, {700, 990}}, want: auditor.TimeLeftReport{Exceeding: 1, Late: 1, Both: 1, Worst: 690 * time.Millisecond}},
		{name: "late as the first", arrivals: [][2]int{{700, 990}, {1400, 290}}, want: auditor.TimeLeftReport{Late: 1}},
		{name: "soon", arrivals: [][2]int{{10, 990}, {510, 990}}, want: auditor.TimeLeftReport{}},
	} {
		var l auditor.TimeLeft
		l.Request(start, "c", time.Second)
		for _, a := range test.arrivals {
			l.Arrival(start.Add(time.Duration(a[0])*time.Millisecond), "c", time.Duration(a[1])*time.Millisecond)
		}
		if got := l.Report(); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestTimeLeftCountsOnce guards against an audit that counts attempts twice which are late and exceed, so that
// a fifth of them seems to be fewer.
func TestTimeLeftCountsOnce(t *testing.T) {
	for _, test := range []struct {
		report auditor.TimeLeftReport
		want   bool
	}{
		{auditor.TimeLeftReport{Exceeding: 20, Late: 20, Both: 20}, false},
		{auditor.TimeLeftReport{Exceeding: 21, Late: 21, Both: 21}, true},
		{auditor.TimeLeftReport{Exceeding: 21, Late: 104, Both: 21}, true},
		{auditor.TimeLeftReport{Exceeding: 21, Late: 105, Both: 21}, false},
		{auditor.TimeLeftReport{Exceeding: 21}, true},
		{auditor.TimeLeftReport{Exceeding: 21, Late: 84}, false},
	} {
		if got := test.report.Broken(); got != test.want {
			t.Errorf("%v: broken %v", test.report, got)
		}
	}
}
