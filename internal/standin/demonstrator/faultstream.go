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
	// streamTokens is the number of tokens of a long stream, which makes it last
	// for seconds at the demo's time scale.
	streamTokens = 1200
	// streamTimeout bounds one stream.
	streamTimeout = 45 * time.Second
	// firstTokenTimeout bounds the wait for the first tokens.
	firstTokenTimeout = 15 * time.Second
	dataPrefix        = "data: "
	doneMarker        = "[DONE]"
)

// stream is one streamed completion that a caller reads while a fault happens.
type stream struct {
	// entry is the name of the process that the caller reads from.
	entry   string
	request string
	backend string
	version string
	prompt  string
	// text is the text received so far.
	text strings.Builder
	// status is the HTTP status, or 0 if there was no answer.
	status int
	// outcome is the outcome header or trailer, connectionError the text of an error
	// of the connection, errorEvent that of an error event or refusal.
	outcome         string
	connectionError string
	errorEvent      string
	// done reports whether the end marker was received.
	done    bool
	endTime time.Time
	// tokens is the number of requested tokens, firstTokenDelay the time from
	// startTime to the first.
	tokens          int
	startTime       time.Time
	firstTokenDelay time.Duration
	// firstToken is closed at the first token or at the end.
	firstToken chan struct{}
	firstOnce  sync.Once
}

// complete reports whether the caller received the complete expected answer.
func (s *stream) complete() bool {
	return s.done && s.text.String() == generator.Expected(s.version, s.prompt, s.tokens)
}

// notRun reports whether the call was refused and did not run.
func (s *stream) notRun() bool {
	return s.status != 0 && s.status != http.StatusOK && s.outcome == notRunOutcome
}

const notRunOutcome = "NotRun"

func (s *stream) String() string {
	return fmt.Sprintf("stream %s through %s on %s: status %d, outcome %q, %d bytes, done %t, error event %q, connection %q, ended %s",
		s.request, s.entry, s.backend, s.status, s.outcome, s.text.Len(), s.done, s.errorEvent, s.connectionError, s.endTime.Format(time.TimeOnly+".000"))
}

// streams holds the long streams in progress while one fault happens.
type streams struct {
	all     []*stream
	readers sync.WaitGroup
}

// openStreams opens long streams through all entries and waits up to
// firstTokenTimeout for their first tokens.
func (f *faultRun) openStreams(ctx context.Context) *streams {
	s := &streams{}
	addresses := f.deployment.CallerAddresses()
	for i, address := range addresses {
		for j := range streamsPerEntry {
			f.streamCount++
			c := &stream{
				entry: f.deployment.Names()[i], tokens: streamTokens, firstToken: make(chan struct{}),
				prompt: fmt.Sprintf("the long review number %d", f.streamCount),
			}
			s.all = append(s.all, c)
			w := &f.run.Workload.Workspaces[(i+j)%len(f.keys)]
			model := fmt.Sprintf("%s/%s-%04d", w.Name, w.AdapterPrefix, j%2)
			key := f.keyOf(w.Name)
			s.readers.Go(func() {
				c.open(ctx, f.client, address, model, key)
				c.endTime = time.Now()
				c.firstOnce.Do(func() { close(c.firstToken) })
			})
		}
	}
	limit := time.After(firstTokenTimeout)
	for _, c := range s.all {
		select {
		case <-c.firstToken:
		case <-limit:
			return s
		}
	}
	return s
}

// callColdAdapter calls an adapter that is probably not resident on any engine,
// repeatedly until it answers completely or ctx ends.
func (f *faultRun) callColdAdapter(ctx context.Context) error {
	f.coldCount++
	w := &f.run.Workload.Workspaces[f.coldCount%len(f.keys)]
	model := fmt.Sprintf("%s/%s-%04d", w.Name, w.AdapterPrefix, w.Adapters-1-f.coldCount%(w.Adapters/2+1))
	addresses := f.deployment.CallerAddresses()
	for {
		f.streamCount++
		s := &stream{prompt: fmt.Sprintf("a quick lookup, number %d", f.streamCount), tokens: 1, firstToken: make(chan struct{})}
		err := s.read(ctx, f.client, addresses[f.streamCount%len(addresses)], model, f.keyOf(w.Name))
		if s.complete() {
			return nil
		}
		if !sleep(ctx, resendDelay) {
			return errors.Errorf("%s does not answer: %s, %v", model, s, err)
		}
	}
}

// keyOf returns the caller's key of a workspace, or "" if there is none.
func (f *faultRun) keyOf(workspace string) string {
	for _, k := range f.keys {
		if k.Workspace == workspace {
			return k.Key
		}
	}
	return ""
}

// open sends the call and reads its answer. It repeats a refused call until
// firstTokenTimeout, since the entry may not have learned yet of backend servers
// that recently joined.
func (s *stream) open(ctx context.Context, client *http.Client, address, model, key string) {
	s.startTime = time.Now()
	limit := s.startTime.Add(firstTokenTimeout)
	for {
		s.errorEvent = ""
		if err := s.read(ctx, client, address, model, key); err != nil {
			s.connectionError = errors.Cause(err).Error()
		}
		if !s.notRun() || time.Now().After(limit) || !sleep(ctx, resendDelay) {
			return
		}
	}
}

// read sends the call once and reads its answer to the end.
func (s *stream) read(ctx context.Context, client *http.Client, address, model, key string) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
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
	r.Header.Set(translator.HeaderDeadline, streamTimeout.String())
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
		if err := s.parseLine(lines.Text()); err != nil {
			return err
		}
	}
	if outcome := answer.Trailer.Get(translator.HeaderOutcome); outcome != "" {
		s.outcome = outcome
	}
	return errors.Trace(lines.Err())
}

// eventPart is the part of an event that the caller reads.
type eventPart struct {
	Choices []eventChoice   `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

type eventChoice struct {
	Text string `json:"text"`
}

// parseLine processes one line of the answer.
func (s *stream) parseLine(line string) error {
	data, ok := strings.CutPrefix(line, dataPrefix)
	if !ok {
		if s.status != http.StatusOK {
			s.errorEvent += line
		}
		return nil
	}
	if data == doneMarker {
		s.done = true
		return nil
	}
	var p eventPart
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return errors.Annotatef(err, "event %.80q", data)
	}
	if len(p.Error) > 0 {
		s.errorEvent = string(p.Error)
	}
	for _, c := range p.Choices {
		s.text.WriteString(c.Text)
	}
	s.firstOnce.Do(func() {
		s.firstTokenDelay = time.Since(s.startTime)
		close(s.firstToken)
	})
	return nil
}

// busiest returns the companion that serves the most streams, firstEngine if there
// are none.
func (s *streams) busiest() string {
	counts := make(map[string]int)
	best := firstEngine
	for _, c := range s.all {
		select {
		case <-c.firstToken:
		default:
			continue // Its reader may still write its fields.
		}
		if counts[c.backend]++; c.backend != "" && counts[c.backend] > counts[best] {
			best = c.backend
		}
	}
	return best
}

const firstEngine = "engine-1"

// checkComplete waits for the ends of the streams and checks the promise for those that
// ran and for which concerned returns true.
func (s *streams) checkComplete(l *findings, p FaultPromise, concerned func(*stream) bool) {
	s.readers.Wait()
	for _, c := range s.all {
		if c.notRun() || !concerned(c) {
			continue
		}
		l.check(p, c.complete(), "%s", c)
	}
}
