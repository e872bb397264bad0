package responder

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

//go:generate stringer -type=Outcome

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of a run.
const (
	// Running means that the run has not ended yet.
	Running Outcome = iota
	// Answered means that the run completed and its whole answer was about to be written.
	Answered
	// Cut means that the run completed or was aborted without a whole answer.
	Cut
)

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for _, known := range []Outcome{Running, Answered, Cut} {
		if known.String() == string(text) {
			*o = known
			return nil
		}
	}
	return errors.NotValidf("outcome %q", text)
}

// Run is one call that the service ran.
type Run struct {
	// Sequence is the number of the run, starting at 1.
	Sequence int64
	Request  string
	// Key is the call's Idempotency-Key, or empty.
	Key      string
	Method   string
	Path     string
	Started  time.Time
	Finished time.Time
	Outcome  Outcome
}

// Record lists the runs of a service.
type Record struct {
	Runs []Run
	// Posts is the number of runs of POST calls.
	Posts int
	// MaxRunsPerKey is the highest number of runs of one idempotency key.
	MaxRunsPerKey int
	// MaxRunsPerRequest is the highest number of runs of one request ID.
	MaxRunsPerRequest int
}

// Record returns a copy of the record so far.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Record{Runs: append([]Run(nil), s.runs...)}
	byKey := make(map[string]int)
	byRequest := make(map[string]int)
	for _, r := range record.Runs {
		if r.Method == http.MethodPost {
			record.Posts++
		}
		if r.Key != "" {
			byKey[r.Key]++
			record.MaxRunsPerKey = max(record.MaxRunsPerKey, byKey[r.Key])
		}
		if r.Request != "" {
			byRequest[r.Request]++
			record.MaxRunsPerRequest = max(record.MaxRunsPerRequest, byRequest[r.Request])
		}
	}
	return record
}

// begin records the start of a run and returns its Sequence.
func (s *Service) begin(r *http.Request) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sequence := int64(len(s.runs)) + 1
	s.runs = append(s.runs, Run{
		Sequence: sequence,
		Request:  r.Header.Get(HeaderRequest),
		Key:      r.Header.Get(HeaderIdempotencyKey),
		Method:   r.Method,
		Path:     r.URL.Path,
		Started:  time.Now(),
	})
	return sequence
}

func (s *Service) end(sequence int64, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[sequence-1].Finished = time.Now()
	s.runs[sequence-1].Outcome = o
}
