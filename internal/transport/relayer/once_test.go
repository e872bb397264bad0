package relayer_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// A fixed seed makes the property tests repeatable.
func init() { _ = flag.Set("rapid.seed", "1") }

// plannedCall is one call of a caller that repeats it while it is told that it did not run.
type plannedCall struct {
	name string
	// behaviours are those of the backend servers that get the call, in order; the last one is
	// used for all further ones.
	behaviours []string
	// cut is the number of bytes of a truncated answer, and status that of a failure.
	cut    int
	status string
	// leavesAfter is when the caller's connection ends; 0 means that it stays.
	leavesAfter time.Duration
	deadline    string

	mu   sync.Mutex
	next int
	runs int
}

// behaviours of backend servers. All but the first two run the call.
var behaviours = []string{
	"refuses", "is another", "answers", "answers", "resets", "closes", "truncates", "garbage", "answers twice",
	"adds bytes", "fails", "fails signed", "interim", "late refusal of another", "hangs",
	"late refusal without an id", "late success without an id", "only a refusal without an id",
}

// take returns the behaviour of the backend server that gets the call, and counts its run.
func (p *plannedCall) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.behaviours[min(p.next, len(p.behaviours)-1)]
	p.next++
	if b != "refuses" && b != "is another" {
		p.runs++
	}
	return b
}

func (p *plannedCall) runCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// sentAgain returns how often the call was sent after the first time.
func (p *plannedCall) sentAgain() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.next-1)
}

// serve answers as planned.
func (p *plannedCall) serve(c net.Conn, r *http.Request) {
	id := r.Header.Get("Id")
	answer := func(status, header, id, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s x\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	}
	whole := answer("200", signed, id, id)
	ends, text := false, whole
	switch p.take() {
	case "refuses":
		text = answer("503", "Not-Run: 1\r\n", id, "")
	case "is another":
		text = answer("421", "Not-Run: elsewhere\r\n", id, "")
	case "resets":
		reset(c)
		return
	case "closes":
		ends, text = true, ""
	case "truncates":
		ends, text = true, whole[:min(p.cut, len(whole)-1)]
	case "garbage":
		ends, text = true, "\x16\x03\x01 not HTTP\r\n\r\n"
	case "answers twice":
		text = whole + answer("503", "Not-Run: 1\r\n", id, "")
	case "adds bytes":
		text = whole + "surplus"
	case "fails":
		text = answer(p.status, "Retry-After: 1\r\n", id, id)
	case "fails signed":
		// A signed answer keeps its status, whatever callers conclude from it.
		text = answer("500", signed, id, id)
	case "interim":
		text = "HTTP/1.1 100 Continue\r\n\r\n" + whole
	case "late refusal of another":
		text = answer("503", "Not-Run: 1\r\n", "another", "") + whole
	case "late refusal without an id":
		text = answer("400", "Not-Run: 1\r\n", "", "") + whole
	case "late success without an id":
		text = answer("200", "", "", "surplus") + whole
	case "only a refusal without an id":
		ends, text = true, answer("503", "Not-Run: 1\r\n", "", "")
	case "hangs":
		_, _ = io.Copy(io.Discard, c)
		return
	}
	_, _ = io.WriteString(c, text)
	if ends {
		_ = c.Close()
	}
}

// make makes the call, and repeats it twice at most. It returns what its caller may not see.
func (p *plannedCall) make(e *entry) string {
	for try := range 3 {
		id := p.name + "-" + strconv.Itoa(try)
		status, body, err := p.attempt(e, id)
		switch {
		case err != nil:
			return ""
		case status == http.StatusOK && body != id:
			return fmt.Sprintf("%s got the answer %q", id, body)
		case status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			return ""
		case p.runCount() > 0:
			return fmt.Sprintf("%s got %d, though it has run", id, status)
		}
	}
	return ""
}

func (p *plannedCall) attempt(e *entry, id string) (int, string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.leavesAfter > 0 {
		time.AfterFunc(p.leavesAfter, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/a/b", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	r.Header = http.Header{"Id": {id}, "Call": {p.name}, "Deadline": {p.deadline}}
	answer, err := e.server.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

// Guards against calls that run twice, such as line activations and transfers, and against the cause
// of it: an answer by which callers repeat a call that may have run. Connections are reset, answers
// lost, truncated, no HTTP or followed by more bytes, and callers leave or repeat.
var _ = DescribeTable("Calls over broken connections and corrupted answers",
	func(route tracker.Route, mostRuns int) {
		var mu sync.Mutex
		planned := map[string]*plannedCall{}
		script := func(c net.Conn, r *http.Request) {
			mu.Lock()
			p := planned[r.Header.Get("Call")]
			mu.Unlock()
			p.serve(c, r)
		}
		e := newEntry(route, nil, newBackend(script), newBackend(script), newBackend(script))
		number, answered, repeated := 0, 0, 0
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			// Backend servers are avoided for a while after a broken connection.
			e.clockOffset.Add(int64(time.Minute))
			var calls []*plannedCall
			for range rapid.IntRange(1, 4).Draw(rt, "calls") {
				number++
				p := &plannedCall{
					name: strconv.Itoa(number), behaviours: rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 4).Draw(rt, "behaviours"),
					cut:         rapid.IntRange(0, 90).Draw(rt, "cut"),
					status:      rapid.SampledFrom([]string{"408", "429", "500", "502", "503"}).Draw(rt, "status"),
					deadline:    strconv.Itoa(rapid.IntRange(20, 60).Draw(rt, "deadline")),
					leavesAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 20}).Draw(rt, "leaves")) * time.Millisecond,
				}
				if slices.Contains(p.behaviours, "hangs") {
					// The fixture's clock is ahead, so that deadlines don't end attempts.
					p.leavesAfter = 20 * time.Millisecond
				}
				calls = append(calls, p)
				mu.Lock()
				planned[p.name] = p
				mu.Unlock()
			}
			e.resetCountdown.Store(int64(rapid.IntRange(0, 6).Draw(rt, "reset")))
			seen := make([]string, len(calls))
			var all sync.WaitGroup
			for i, p := range calls {
				all.Go(func() { seen[i] = p.make(e) })
			}
			all.Wait()
			for i, p := range calls {
				if seen[i] != "" {
					rt.Fatalf("%s: %v", seen[i], p.behaviours)
				}
				if p.runCount() > mostRuns {
					rt.Fatalf("call %s ran %d times: %v", p.name, p.runCount(), p.behaviours)
				}
				answered += min(1, p.runCount())
				repeated += p.sentAgain()
			}
		})
		GinkgoWriter.Printf("%d calls, %d ran, %d sent again\n", number, answered, repeated)
	},
	Entry("run at most once, and are not said not to have run if they have", runOnce, 1),
	Entry("that may be repeated are not said not to have run if they have", repeatable, 9),
)
