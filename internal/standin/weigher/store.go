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

// HeaderBytes declares the number of bytes of the weights that an answer stands for.
const HeaderBytes = "X-Weight-Bytes"

// Paths of the store.
const (
	// PathWeights precedes the path of the weights.
	PathWeights = "/weights/"
	// PathReport answers with the Report.
	PathReport = "/_report"
)

// Settings are the settings of a Store. The zero value of each field means its
// default.
type Settings struct {
	// FullSpeedTime is the time that one transfer takes alone; 250 ms by default.
	FullSpeedTime time.Duration
	// Bytes is the declared size of an adapter's weights; 64 MiB by default.
	Bytes int64
	// Rate is the number of starts allowed in any second; 4 by default.
	Rate int
	// RefuseOverRate answers a start over the rate with status 429 instead of
	// delaying it.
	RefuseOverRate bool
	// SharingPenalty is the part of the speed that each further transfer costs all;
	// 0.25 by default. Of k transfers each runs 1/(k(1+(k-1)SharingPenalty)) as fast.
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

// Report tells how the store was used.
type Report struct {
	// Starts counts the transfers begun.
	Starts int
	// Shared counts those begun while another was running.
	Shared int
	// MaxConcurrent is the highest number of transfers running at once.
	MaxConcurrent int
	// MaxStartsPerSecond is the highest number of requests in any second (scaled),
	// refused and delayed ones included.
	MaxStartsPerSecond int
	// Delayed and Refused count the requests over the rate.
	Delayed int
	Refused int
	// Abandoned counts the transfers whose client left.
	Abandoned int
	// Transfer is the time (scaled) that transfers took, summed.
	Transfer time.Duration
}

// Store is a weight store. Close it after use.
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

// Report returns how the store was used so far.
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

// admit books a start and returns how long it has to wait, or false to refuse.
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

// transfer takes the time of one transfer and returns whether it was completed.
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

// schedule sets the timer to the end of the next transfer. It needs mu.
func (w *Store) schedule() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if wait, ok := w.link.next(); ok {
		w.timer = time.AfterFunc(wait, w.tick)
	}
}

func (w *Store) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.link.advance(time.Now())
	w.schedule()
}
