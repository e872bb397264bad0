package prober

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// StreamSettings are the settings of a probe of the request path, in which each caller always
// has one streamed answer in flight.
type StreamSettings struct {
	// Hosts are the control hosts, Group is the name of their group.
	Hosts []configurer.ControlHost
	Group string
	// Entry is the address of an entry's caller listener.
	Entry string
	// Processes are the ids of the processes whose usage is read, such as the entry and
	// the companion.
	Processes []int
	// Callers is the number of concurrent streams, Tokens the length of each answer.
	Callers, Tokens int
	// Window is the length of the measurement; 0 means DefaultWindow.
	Window time.Duration
}

// StreamRow is one measurement of the request path. The slices are indexed as
// StreamSettings.Processes.
type StreamRow struct {
	Callers, Tokens int
	// Answers and Pieces are counts per second.
	Answers, Pieces float64
	// Processor is the processor time of each process above Idle, Idle that without
	// callers, both in microseconds per second.
	Processor, Idle []float64
	// Private is the private memory of each process at the end of the window, in bytes.
	Private []float64
}

// bearer is the bearer key of the probe's callers.
const bearer = "probe-bearer-key-0123456789"

// firstVersion is the version that the probe's callers request.
const firstVersion = "v1"

// PrepareStreams declares the resources that the callers need and waits until the entry
// serves a stream.
func PrepareStreams(ctx context.Context, s StreamSettings) error {
	c := NewClientGroup(ClientGroupSettings{Hosts: s.Hosts, Group: s.Group, Entries: 1, Prefix: "prepare-", Random: rand.New(rand.NewPCG(1, 1))}) //nolint:contextcheck // Clients outlive calls.
	return stderrors.Join(s.prepare(ctx, c.Entries[0]), c.Close(ctx))
}

func (s StreamSettings) prepare(ctx context.Context, l *LightClient) error {
	if err := Prepare(ctx, l); err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(bearer))
	for _, r := range []storer.Resource{
		{
			Kind:     storer.KindVersion,
			Metadata: storer.Metadata{Workspace: workspaceName, Name: storer.VersionName(adapterName, firstVersion)},
			Spec:     storer.VersionSpec{Source: "weights/" + adapterName},
		},
		{Kind: storer.KindKey, Metadata: storer.Metadata{Workspace: workspaceName, Name: "callers"}, Spec: storer.KeySpec{Hash: hex.EncodeToString(hash[:])}},
	} {
		if _, err := l.Propose(ctx, storer.Envelope{IdempotencyKey: "streams-" + r.Kind.String(), Command: storer.PutResource{Resource: r}}); err != nil {
			return errors.Annotate(err, "declare the resources of the streams")
		}
	}
	for {
		_, err := s.call(ctx, &http.Client{Timeout: callTimeout}, new(atomic.Int64))
		if err == nil {
			return nil
		}
		if sleep(ctx, pollInterval); ctx.Err() != nil {
			return errors.Annotate(err, "entry does not serve streams")
		}
	}
}

// RunStreams measures the request path once.
func RunStreams(ctx context.Context, s StreamSettings) (StreamRow, error) {
	row := StreamRow{Callers: s.Callers, Tokens: s.Tokens}
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	idle, err := s.measureUsage(func() { sleep(ctx, s.Window) })
	if err != nil {
		return row, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var answers, pieces atomic.Int64
	var callers sync.WaitGroup
	failed := make(chan error, 1)
	for range s.Callers {
		callers.Go(func() {
			for ctx.Err() == nil {
				complete, err := s.call(ctx, client, &pieces)
				if err != nil && ctx.Err() == nil {
					select {
					case failed <- err:
					default:
					}
					return
				}
				if complete {
					answers.Add(1)
				}
			}
		})
	}
	// The first streams start at the same time. The warm-up spreads them out.
	sleep(ctx, s.Window/warmUpDivisor)
	beforeAnswers, beforePieces, began := answers.Load(), pieces.Load(), time.Now()
	busy, err := s.measureUsage(func() { sleep(ctx, s.Window) })
	took := time.Since(began).Seconds()
	row.Answers = float64(answers.Load()-beforeAnswers) / took
	row.Pieces = float64(pieces.Load()-beforePieces) / took
	cancel()
	callers.Wait()
	for i := range busy {
		row.Idle = append(row.Idle, microseconds(idle[i].Processor)/s.Window.Seconds())
		row.Processor = append(row.Processor, microseconds(busy[i].Processor)/took-row.Idle[i])
		row.Private = append(row.Private, float64(busy[i].Private))
	}
	select {
	case err := <-failed:
		return row, errors.Annotate(err, "read stream")
	default:
		return row, errors.Trace(err)
	}
}

// measureUsage calls window and returns the processor time that each process used during
// the call, and its memory at the end.
func (s StreamSettings) measureUsage(window func()) ([]Usage, error) {
	var before []Usage
	for _, pid := range s.Processes {
		u, err := UsageOf(pid)
		if err != nil {
			return nil, err
		}
		before = append(before, u)
	}
	window()
	var spent []Usage
	for i, pid := range s.Processes {
		u, err := UsageOf(pid)
		if err != nil {
			return nil, err
		}
		u.Processor -= before[i].Processor
		spent = append(spent, u)
	}
	return spent, nil
}

// completion holds the fields of OpenAI's completion request that the probe sets.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"` //nolint:tagliatelle // OpenAI's name.
	Stream    bool   `json:"stream"`
}

// call sends a request and reads its streamed answer. It counts the pieces, and reports
// whether the answer ended with the end marker.
func (s StreamSettings) call(ctx context.Context, client *http.Client, pieces *atomic.Int64) (bool, error) {
	body, err := json.Marshal(completion{
		Model: workspaceName + "/" + storer.VersionName(adapterName, firstVersion), Prompt: "A contract of twenty pages.", MaxTokens: max(s.Tokens, 1), Stream: true,
	})
	if err != nil {
		return false, errors.Trace(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Entry+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return false, errors.Trace(err)
	}
	r.Header.Set("Authorization", "Bearer "+bearer)
	r.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(r)
	if err != nil {
		return false, errors.Trace(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 512))
		return false, errors.Errorf("status %d: %s", answer.StatusCode, text)
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		switch {
		case lines.Text() == "data: [DONE]":
			return true, nil
		case strings.HasPrefix(lines.Text(), "data:"):
			pieces.Add(1)
		}
	}
	return false, errors.Trace(lines.Err())
}

// Write writes the row as one line.
func (r StreamRow) Write(out io.Writer) {
	fmt.Fprintf(out, "%7d callers %5d tokens %8.1f answers/s %9.1f pieces/s", r.Callers, r.Tokens, r.Answers, r.Pieces)
	for i := range r.Processor {
		fmt.Fprintf(out, " | rest %6.0f µs/s, above %8.0f µs/s, %6.1f MB", r.Idle[i], r.Processor[i], r.Private[i]/1e6)
	}
	fmt.Fprintln(out)
}

// WriteStreamSlopes writes two lines for each process: the processor time per answer by the
// pieces per answer, and the private memory by the number of callers. The first is meaningful
// if the rows vary Tokens, the second if they vary Callers.
func WriteStreamSlopes(out io.Writer, rows []StreamRow) {
	if len(rows) == 0 {
		return
	}
	for i := range rows[0].Processor {
		var byTokens, byStreams []Point
		for _, r := range rows {
			byTokens = append(byTokens, Point{X: r.Pieces / r.Answers, Y: r.Processor[i] / r.Answers})
			byStreams = append(byStreams, Point{X: float64(r.Callers), Y: r.Private[i]})
		}
		fmt.Fprintf(out, "process %d, µs by piece, and by answer at zero: %v\n", i, Fit(byTokens))
		fmt.Fprintf(out, "process %d, private B by open stream: %v\n", i, Fit(byStreams))
	}
}
