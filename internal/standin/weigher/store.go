package weigher

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/hoster"
)

// HeaderBytes is the header with the number of bytes of the weights.
const HeaderBytes = "X-Weight-Bytes"

// Paths of the store.
const (
	// PathWeights is the prefix of the path of weights.
	PathWeights = "/weights/"
	// PathReport is the path of the Report.
	PathReport = "/_report"
)

// Settings are the settings of a Store. The zero value of each field means its
// default.
type Settings struct {
	// FullSpeedTime is the duration of a single transfer; 250 ms by default.
	FullSpeedTime time.Duration
	// Bytes is the declared size of an adapter's weights; 64 MiB by default.
	Bytes int64
	// Rate is the maximum number of started transfers in any second; 4 by default.
	Rate int
	// RefuseOverRate makes the store answer requests over the rate with status 429
	// instead of delaying them.
	RefuseOverRate bool
	// SharingPenalty is the loss of speed per further concurrent transfer; 0.25 by
	// default. Each of k transfers runs at 1/(k(1+(k-1)SharingPenalty)) of full speed.
	SharingPenalty float64
	// TimeScale multiplies FullSpeedTime and the second of Rate; 1 by default.
	TimeScale float64
}

func (s Settings) withDefaults() Settings {
	if s.FullSpeedTime == 0 {
		s.FullSpeedTime = 250 * time.Millisecond
	}
	if s.Bytes == 0 {
		s.Bytes = 64 << 20
	}
	if s.Rate == 0 {
		s.Rate = 4
	}
	if s.SharingPenalty == 0 {
		s.SharingPenalty = 0.25
	}
	if s.TimeScale == 0 {
		s.TimeScale = 1
	}
	return s
}

// Report contains statistics of the store's use.
type Report struct {
	// Starts is the number of started transfers.
	Starts int
	// Shared is the number of transfers started while another was running.
	Shared int
	// MaxConcurrent is the highest number of concurrent transfers.
	MaxConcurrent int
	// MaxStartsPerSecond is the highest number of requests in any second (scaled),
	// refused and delayed ones included.
	MaxStartsPerSecond int
	// Delayed and Refused are the numbers of requests over the rate.
	Delayed int
	Refused int
	// Abandoned is the number of transfers whose client disconnected, or that Close
	// aborted.
	Abandoned int
	// Transfer is the sum of the durations (scaled) of transfers.
	Transfer time.Duration
}

// Store is a weight store. It is safe for concurrent use. Close it after use.
type Store struct {
	*hoster.Host
	settings Settings

	mu       sync.Mutex
	link     link        // guarded by mu
	timer    *time.Timer // fires at the end of the next transfer; guarded by mu
	starts   window      // guarded by mu
	requests window      // guarded by mu
	report   Report      // guarded by mu
}

// NewStore returns a store that is not yet listening.
func NewStore(s Settings) *Store {
	s = s.withDefaults()
	second := time.Duration(float64(time.Second) * s.TimeScale)
	w := &Store{
		Host:     hoster.NewHost("weight store"),
		settings: s,
		link:     link{penalty: s.SharingPenalty},
		starts:   window{length: second},
		requests: window{length: second},
	}
	w.Handle(w.Handler())
	return w
}

// Handler returns the store's HTTP handler.
func (w *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{path...}", w.serveWeights)
	mux.HandleFunc("GET "+PathReport, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(w.Report())
	})
	return mux
}

// Report returns the statistics so far.
func (w *Store) Report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report
}

func (w *Store) serveWeights(rw http.ResponseWriter, r *http.Request) {
	if !w.BeginRequest() {
		panic(http.ErrAbortHandler)
	}
	defer w.EndRequest()
	if strings.Trim(r.PathValue("path"), "/") == "" {
		http.Error(rw, "no path", http.StatusNotFound)
		return
	}
	wait, ok := w.admit(time.Now())
	if !ok {
		rw.Header().Set("Retry-After", "1")
		http.Error(rw, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	if !w.pause(r.Context(), wait) || !w.transfer(r.Context()) {
		return
	}
	rw.Header().Set(HeaderBytes, strconv.FormatInt(w.settings.Bytes, 10))
	rw.WriteHeader(http.StatusOK)
}

// admit reserves the start of a transfer and returns the time to wait for it, or false to
// refuse the request.
func (w *Store) admit(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests.add(now)
	w.report.MaxStartsPerSecond = max(w.report.MaxStartsPerSecond, w.requests.count(now))
	start := w.starts.next(now, w.settings.Rate)
	if start.After(now) && w.settings.RefuseOverRate {
		w.report.Refused++
		return 0, false
	}
	if start.After(now) {
		w.report.Delayed++
	}
	w.starts.add(start)
	return start.Sub(now), true
}

// pause waits for the duration. It returns false if ctx or Close ends the wait.
func (w *Store) pause(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return true
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-w.Closed():
	}
	return false
}

// transfer simulates one transfer and reports whether it completed, rather than being
// aborted by ctx or Close.
func (w *Store) transfer(ctx context.Context) bool {
	begin := time.Now()
	t := &transfer{remaining: time.Duration(float64(w.settings.FullSpeedTime) * w.settings.TimeScale), done: make(chan struct{})}
	w.mu.Lock()
	w.link.advance(begin)
	if len(w.link.active) > 0 {
		w.report.Shared++
	}
	w.link.active = append(w.link.active, t)
	w.report.Starts++
	w.report.MaxConcurrent = max(w.report.MaxConcurrent, len(w.link.active))
	w.schedule()
	w.mu.Unlock()

	completed := false
	select {
	case <-t.done:
		completed = true
	case <-ctx.Done():
	case <-w.Closed():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Transfer += time.Since(begin)
	if !completed {
		w.link.advance(time.Now())
		w.link.remove(t)
		w.report.Abandoned++
		w.schedule()
	}
	return completed
}

// schedule sets the timer to the end of the next transfer. The caller holds mu.
func (w *Store) schedule() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if wait, ok := w.link.next(); ok {
		w.timer = time.AfterFunc(wait, w.advanceLink)
	}
}

// advanceLink ends the completed transfers when the timer fires.
func (w *Store) advanceLink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.link.advance(time.Now())
	w.schedule()
}
