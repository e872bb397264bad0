package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

const (
	// streamsPerEntry is the number of long streams in progress through each entry
	// while a fault happens.
	streamsPerEntry = 4
	// streamTokens makes a stream last for seconds with the demonstration's time
	// scale.
	streamTokens = 1200
	// streamLimit bounds one stream.
	streamLimit = 45 * time.Second
	// streamStart bounds the wait for the first tokens.
	streamStart = 15 * time.Second
	dataPrefix  = "data: "
	doneMark    = "[DONE]"
)

// stream is one long answer, read by its caller while a fault happens.
type stream struct {
	// entry is the name of the process that the caller reads from.
	entry   string
	request string
	backend string
	version string
	prompt  string
	// text came so far.
	text strings.Builder
	// status is 0 where no answer came.
	status int
	// outcome, failure and problem tell how it ended: the outcome header, an
	// error of the connection, the text of an error event.
	outcome string
	failure string
	problem string
	done    bool
	ended   time.Time
	// tokens is the number of tokens asked for, waited the time to the first.
	tokens int
	began  time.Time
	waited time.Duration
	// first is closed at the first token or the end.
	first chan struct{}
	once  sync.Once
}

// whole reports whether the caller got the whole answer.
func (s *stream) whole() bool {
	return s.done && s.text.String() == generator.Expected(s.version, s.prompt, s.tokens)
}

// refused reports whether the stream never began.
func (s *stream) refused() bool {
	return s.status != 0 && s.status != http.StatusOK && s.outcome == notRunOutcome
}

const notRunOutcome = "NotRun"

func (s *stream) String() string {
	return fmt.Sprintf("stream %s through %s on %s: status %d, outcome %q, %d bytes, done %t, error event %q, connection %q, ended %s",
		s.request, s.entry, s.backend, s.status, s.outcome, s.text.Len(), s.done, s.problem, s.failure, s.ended.Format(time.TimeOnly+".000"))
}

// streams are the long answers in progress while one fault happens.
type streams struct {
	all     []*stream
	reading sync.WaitGroup
}

// openStreams begins streams through all entries and waits for their first
// tokens.
func (f *faultRun) openStreams(ctx context.Context) *streams {
	s := &streams{}
	addresses := f.deployment.CallerAddresses()
	for i, address := range addresses {
		for j := range streamsPerEntry {
			f.streamCount++
			c := &stream{
				entry: f.deployment.Names()[i], tokens: streamTokens, first: make(chan struct{}),
				prompt: fmt.Sprintf("the long review number %d", f.streamCount),
			}
			s.all = append(s.all, c)
			w := &f.run.Workload.Workspaces[(i+j)%len(f.keys)]
			model := fmt.Sprintf("%s/%s-%04d", w.Name, w.AdapterPrefix, j%2)
			key := f.keyOf(w.Name)
			s.reading.Go(func() {
				c.begin(ctx, f.client, address, model, key)
				c.ended = time.Now()
				c.once.Do(func() { close(c.first) })
			})
		}
	}
	limit := time.After(streamStart)
	for _, c := range s.all {
		select {
		case <-c.first:
		case <-limit:
			return s
		}
	}
	return s
}

// askCold has an adapter answer that is hardly resident anywhere.
func (f *faultRun) askCold(ctx context.Context) error {
	f.cold++
	w := &f.run.Workload.Workspaces[f.cold%len(f.keys)]
	model := fmt.Sprintf("%s/%s-%04d", w.Name, w.AdapterPrefix, w.Adapters-1-f.cold%(w.Adapters/2+1))
	addresses := f.deployment.CallerAddresses()
	for {
		f.streamCount++
		s := &stream{prompt: fmt.Sprintf("a quick lookup, number %d", f.streamCount), tokens: 1, first: make(chan struct{})}
		err := s.read(ctx, f.client, addresses[f.streamCount%len(addresses)], model, f.keyOf(w.Name))
		if s.whole() {
			return nil
		}
		if !wait(ctx, resendPause) {
			return errors.Errorf("%s does not answer: %s, %v", model, s, err)
		}
	}
}

func (f *faultRun) keyOf(workspace string) string {
	for _, k := range f.keys {
		if k.Workspace == workspace {
			return k.Key
		}
	}
	return ""
}

// begin sends the call until it isn't refused any more, as an entry may not know
// yet of backend servers that have just joined, and reads its answer.
func (s *stream) begin(ctx context.Context, client *http.Client, address, model, key string) {
	s.began = time.Now()
	limit := s.began.Add(streamStart)
	for {
		s.problem = ""
		if err := s.read(ctx, client, address, model, key); err != nil {
			s.failure = errors.Cause(err).Error()
		}
		if !s.refused() || time.Now().After(limit) || !wait(ctx, resendPause) {
			return
		}
	}
}

// read sends the call and reads its answer to the end.
func (s *stream) read(ctx context.Context, client *http.Client, address, model, key string) error {
	ctx, cancel := context.WithTimeout(ctx, streamLimit)
	defer cancel()
	body, err := json.Marshal(orderer.CompletionRequest{Model: model, Prompt: s.prompt, MaxTokens: s.tokens, Stream: true})
	if err != nil {
		return errors.Trace(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+translator.PathCompletion, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set(translator.HeaderContentType, "application/json")
	r.Header.Set(translator.HeaderAuthorization, "Bearer "+key)
	r.Header.Set(translator.HeaderDeadline, streamLimit.String())
	answer, err := client.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Body.Close()
	s.status = answer.StatusCode
	s.request, s.backend = answer.Header.Get(translator.HeaderRequest), answer.Header.Get(translator.HeaderBackend)
	s.version, s.outcome = answer.Header.Get(translator.HeaderAdapter), answer.Header.Get(translator.HeaderOutcome)
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if err := s.take(lines.Text()); err != nil {
			return err
		}
	}
	if outcome := answer.Trailer.Get(translator.HeaderOutcome); outcome != "" {
		s.outcome = outcome
	}
	return errors.Trace(lines.Err())
}

// piece is the part of an event that is read.
type piece struct {
	Choices []pieceChoice   `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

type pieceChoice struct {
	Text string `json:"text"`
}

// take reads one line of the answer.
func (s *stream) take(line string) error {
	data, ok := strings.CutPrefix(line, dataPrefix)
	if !ok {
		if s.status != http.StatusOK {
			s.problem += line
		}
		return nil
	}
	if data == doneMark {
		s.done = true
		return nil
	}
	var p piece
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return errors.Annotatef(err, "event %.80q", data)
	}
	if len(p.Error) > 0 {
		s.problem = string(p.Error)
	}
	for _, c := range p.Choices {
		s.text.WriteString(c.Text)
	}
	s.once.Do(func() {
		s.waited = time.Since(s.began)
		close(s.first)
	})
	return nil
}

// busiest returns the companion that serves the most of the streams in progress.
func (s *streams) busiest() string {
	counts := make(map[string]int)
	best := firstEngine
	for _, c := range s.all {
		select {
		case <-c.first:
		default:
			continue // Its fields are still being written.
		}
		if counts[c.backend]++; c.backend != "" && counts[c.backend] > counts[best] {
			best = c.backend
		}
	}
	return best
}

const firstEngine = "engine-1"

// judge waits for the streams' ends and checks the promise for those which
// concerned tells.
func (s *streams) judge(l *ledger, p FaultPromise, concerned func(*stream) bool) {
	s.reading.Wait()
	for _, c := range s.all {
		if c.refused() || !concerned(c) {
			continue
		}
		l.check(p, c.whole(), "%s", c)
	}
}
