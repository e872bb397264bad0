package responder

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Paths of the service that are not taken for calls.
const (
	PathRecord = "/_record"
	PathFaults = "/_faults"
)

// Headers that the service reads.
const (
	HeaderRequest        = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxBodyBytes = 64 << 20

// Settings are the settings of a Service. The zero value means a service without
// a name that answers at once.
type Settings struct {
	Name string
	// Delay is the time that each call runs.
	Delay time.Duration
	// Faults are in force from the start.
	Faults Faults
}

// Faults are switched on by the settings, by Inject or by POST /_faults.
type Faults struct {
	// Delay lengthens each call.
	Delay time.Duration
	// DieBefore is the number of next calls whose connection is cut before they run.
	DieBefore int
	// DieAfter is the number of next calls that run, and whose connection is cut
	// instead of an answer.
	DieAfter int
	// Refuse is the number of next calls that are answered 503 and don't run.
	Refuse int
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

// Service is a plain service. Close it after use.
type Service struct {
	settings Settings
	server   http.Server
	serving  sync.WaitGroup
	closed   chan struct{}

	mu      sync.Mutex
	faults  Faults // guarded by mu
	runs    []Run  // guarded by mu
	stopped bool   // set when closed is closed; guarded by mu
}

// NewService returns a service that is not yet listening.
func NewService(s Settings) *Service {
	w := &Service{settings: s, faults: s.Faults, closed: make(chan struct{})}
	w.server.Handler = w.Handler()
	return w
}

// Listen starts to serve on the address, which may end in port 0, and returns the
// address it got.
func (s *Service) Listen(address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "plain service")
	}
	s.Serve(l)
	return l.Addr().String(), nil
}

// Serve starts to serve on the listener, which it closes in the end.
func (s *Service) Serve(l net.Listener) {
	s.serving.Go(func() { _ = s.server.Serve(l) })
}

// Close cuts all calls and waits until the service has stopped.
func (s *Service) Close() error {
	s.mu.Lock()
	if !s.stopped {
		s.stopped = true
		close(s.closed)
	}
	s.mu.Unlock()
	err := s.server.Close()
	s.serving.Wait()
	return errors.Trace(err)
}

// Inject replaces the faults in force.
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
	if !s.enter() {
		panic(http.ErrAbortHandler)
	}
	defer s.serving.Done()
	size, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // The caller left in mid-request: nothing ran.
	}
	f := s.take()
	switch {
	case f.Refuse > 0:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case f.DieBefore > 0:
		panic(http.ErrAbortHandler)
	}
	run := s.begin(r)
	if !s.work(s.settings.Delay + f.Delay) {
		s.end(run, Cut)
		panic(http.ErrAbortHandler)
	}
	if f.DieAfter > 0 {
		s.end(run, Cut)
		panic(http.ErrAbortHandler)
	}
	s.end(run, Answered)
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	writeJSON(w, Answer{
		Service: s.settings.Name,
		Request: r.Header.Get(HeaderRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		Run:     run,
		Bytes:   size,
	})
}

// enter counts a call that Close waits for. It returns false if the service has
// closed.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.serving.Add(1)
	return true
}

// take returns the faults for one call and counts them down.
func (s *Service) take() Faults {
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
	}
	return f
}

// work takes the time of a call. A caller that leaves doesn't stop it, as with a
// service that looks at its connection only to answer.
func (s *Service) work(length time.Duration) bool {
	if length <= 0 {
		return true
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
