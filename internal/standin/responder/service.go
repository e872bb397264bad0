package responder

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/hoster"
)

// Paths of the service that don't count as calls.
const (
	PathRecord = "/_record"
	PathFaults = "/_faults"
)

// Headers that the service reads, and the one in which it names its limit of requests.
const (
	HeaderRequest        = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestLimit   = "Request-Limit"
)

const maxBodyBytes = 64 << 20

// Settings are the settings of a Service. The zero value describes a service without a
// name that answers immediately.
type Settings struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
	// Faults are the initially active faults.
	Faults Faults
}

// Faults are the faults to inject into a service. They are set by Settings.Faults, Inject or
// POST /_faults.
type Faults struct {
	// Delay is added to the duration of each call.
	Delay time.Duration
	// DieBefore is the number of following calls whose connection is cut before they run.
	DieBefore int
	// DieAfter is the number of following calls that run, but whose connection is cut
	// instead of an answer.
	DieAfter int
	// Refuse is the number of following calls that are answered with status 503 without
	// being run.
	Refuse int
	// RequestLimit, if positive, is the limit of requests per second that answers name.
	RequestLimit float64
	// Unframed makes answers come without a length and chunks: they end with their
	// connection.
	Unframed bool
	// CutAnswers is the number of following calls that run, but whose answer ends after
	// CutAfter bytes of its body: with an orderly end of the connection, or a reset.
	CutAnswers int
	CutAfter   int
	CutByReset bool
}

// Answer is the body of the answer to a call.
type Answer struct {
	Service string
	Request string
	Method  string
	Path    string
	// Run is the Sequence of the call in the record.
	Run int64
	// Bytes is the length of the call's body.
	Bytes int64
}

// Service is a plain service. It is safe for concurrent use. Close it after use.
type Service struct {
	*hoster.Host
	settings Settings

	mu     sync.Mutex
	faults Faults // guarded by mu
	runs   []Run  // guarded by mu
}

// NewService returns a service that is not yet listening.
func NewService(s Settings) *Service {
	w := &Service{Host: hoster.NewHost("plain service"), settings: s, faults: s.Faults}
	w.Handle(w.Handler())
	return w
}

// Inject replaces the active faults.
func (s *Service) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	mux.HandleFunc("POST "+PathFaults, s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(f)
	w.WriteHeader(http.StatusOK)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if !s.BeginRequest() {
		panic(http.ErrAbortHandler)
	}
	defer s.EndRequest()
	size, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // The client disconnected before the end of the request: nothing ran.
	}
	f := s.takeFaults()
	switch {
	case f.Refuse > 0:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case f.DieBefore > 0:
		panic(http.ErrAbortHandler)
	}
	run := s.begin(r)
	if !s.wait(s.settings.Delay + f.Delay) {
		s.end(run, Cut)
		panic(http.ErrAbortHandler)
	}
	if f.DieAfter > 0 {
		s.end(run, Cut)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if f.RequestLimit > 0 {
		w.Header().Set(HeaderRequestLimit, strconv.FormatFloat(f.RequestLimit, 'g', -1, 64))
	}
	answer := Answer{
		Service: s.settings.Name,
		Request: r.Header.Get(HeaderRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		Run:     run,
		Bytes:   size,
	}
	if f.Unframed || f.CutAnswers > 0 {
		s.sendRaw(w, run, answer, f)
		return
	}
	s.end(run, Answered)
	writeJSON(w, answer)
}

// takeFaults returns the faults for one call and decrements the counter of the fault that
// applies.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	switch {
	case f.Refuse > 0:
		s.faults.Refuse--
	case f.DieBefore > 0:
		s.faults.DieBefore--
	case f.DieAfter > 0:
		s.faults.DieAfter--
	case f.CutAnswers > 0:
		s.faults.CutAnswers--
	}
	return f
}

// wait waits for the duration of a call and returns false if the service was closed. Like a
// service that uses its connection only for the answer, it continues if the client
// disconnects.
func (s *Service) wait(length time.Duration) bool {
	if length <= 0 {
		return true
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.Closed():
		return false
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
