package relayer

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// job is one call in progress.
type job struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	call    Call
	route   *tracker.Route
	// workspace is the caller's; nil where it needs none. It is from the configuration of
	// a number.
	workspace *tracker.Workspace
	number    uint64
	// paidFor is what the call was charged, in units of its workspace's quota, and ran tells
	// that a backend server may have begun it.
	paidFor float64
	ran     bool
	// bar is why the call may not be handed over any more; nil while it may.
	bar     *bar
	service *tracker.Service
	body    []byte
	arrived time.Time
	// deadline ends the call, the caller's or the route's, whichever is first.
	deadline time.Time
	ctx      context.Context

	// avoid names the backend servers that were tried.
	avoid []string
	// sent counts the backend servers that the call was handed to, and mayHaveRun
	// tells that one of them may have run it.
	sent       int
	mayHaveRun bool
	// arrivals counts the attempts that reached a backend server, those included
	// that were meant for another incarnation of it.
	arrivals int
	// failed is a backend server's own failure, the answer of last resort.
	failed *kept
	// began tells that the answer's head has gone to the caller.
	began bool
	// firstAt is when a stream's first event went to the caller.
	firstAt time.Time
	// backup is where a copy of the request's memory is kept; its name is empty
	// where there is none. From is set for the attempt that goes on from it.
	backup placer.Choice
	from   string
	// lastEvent is the id of the last whole event passed on.
	lastEvent string
	choice    placer.Choice
	// sentBack tells that a companion had the call go elsewhere; none does so twice.
	sentBack bool
	// paid tells that the next attempt is counted in the retry budget already.
	paid   bool
	waited time.Duration
	// followed is the present attempt.
	followed *attempt
	// suspect tells that backend servers ended under the request, now or before.
	suspect bool
	// bytes counts those of the answer that went to the caller, and bytesBefore those
	// of attempts before the present one.
	bytes, bytesBefore int64
	// sameness is the call's identity and place; each is found once it is needed.
	sameness sameness
}

// kept is an answer that was read whole.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP serves one call.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	j := &job{relayer: r, writer: w, request: request, arrived: r.settings.Now(), ctx: request.Context()}
	defer j.giveBack()
	if err := j.receive(); err != nil { //nolint:contextcheck // The job holds its context.
		return
	}
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	j.ctx = ctx
	j.run() //nolint:contextcheck // A release goes out though the caller has left.
}

// errAnswered tells that the call has had its answer.
const errAnswered = errors.ConstError("answered")

// receive reads the request and finds its route. It answers what can't be served.
func (j *job) receive() error {
	r := j.relayer
	call, err := r.settings.Translator.Call(j.request)
	if err != nil {
		return j.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	j.call = call
	routing := j.awaitRouting()
	if routing == nil {
		return j.refuse(http.StatusServiceUnavailable, "no configuration is known yet", r.settings.RetryAfter)
	}
	if err := j.identify(); err != nil {
		return err
	}
	if j.outlasts() {
		return j.refuse(http.StatusServiceUnavailable, "stopping", elsewhereAfter)
	}
	wait := j.route.Timeout
	if call.Deadline > 0 {
		wait = min(wait, call.Deadline)
	}
	j.deadline = j.arrived.Add(wait)
	if err := j.charge(); err != nil {
		return err
	}
	limit := cmp.Or(routing.Limits.BodyBytes, DefaultBodyBytes)
	if j.request.ContentLength > limit {
		return j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	j.body, err = io.ReadAll(http.MaxBytesReader(j.writer, j.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	case err != nil:
		// The caller broke off, or sent what is no body.
		return j.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	r.budget.call(j.arrived, j.service.Name)
	return nil
}

// awaitRouting returns the configuration in force. Right after the start of a
// process that comes a moment later; the call is held so long.
func (j *job) awaitRouting() *tracker.Routing {
	j.deadline = j.arrived.Add(cmp.Or(j.call.Deadline, defaultDeadline))
	for {
		routing := j.relayer.Routing()
		if routing != nil || !j.mayHold() || !pauser.Pause(j.ctx, holdPause) {
			return routing
		}
	}
}

const (
	// elsewhereAfter has a caller come back at once, which leads to another entry.
	elsewhereAfter = 10 * time.Millisecond
	// streamToken is the time that a token of a stream takes at a busy engine, and
	// streamStart the time before the first.
	streamToken = 15 * time.Millisecond
	streamStart = 500 * time.Millisecond
)

// outlasts reports whether the call would most likely be cut by the planned stop
// under way. Until the platform's balancer has noticed the stop it sends new calls;
// a long stream among them does better elsewhere.
//
// The caller's guess goes before the most that the answer may have: taken at its most,
// each stream seems too long, and where the failure domain has one entry only, the
// caller that comes back is turned away there once more.
func (j *job) outlasts() bool {
	stop := j.relayer.stopAt.Load()
	if stop == 0 || !j.route.Stream {
		return false
	}
	tokens := cmp.Or(j.call.ExpectedTokens, j.call.AnswerTokens)
	expected := streamStart + time.Duration(tokens)*streamToken
	return j.arrived.Add(expected).UnixNano() > stop
}

// defaultDeadline is assumed of callers that told none, before their route is
// known.
const defaultDeadline = 2 * time.Second

// refuse answers the call itself. A status of 429 or 503 promises that the call has
// not run and never will.
func (j *job) refuse(status int, reason string, after time.Duration) error {
	if j.began {
		// Part of the answer has gone: only a broken connection tells that the
		// rest won't come.
		j.log("broken", status, reason)
		panic(http.ErrAbortHandler)
	}
	j.began = true
	h := j.writer.Header()
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	j.writer.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = io.WriteString(j.writer, reason+"\n")
	j.log("refused", status, reason)
	return errAnswered
}

// log writes the call's one line.
func (j *job) log(outcome string, status int, reason string) {
	r := j.relayer
	took := r.settings.Now().Sub(j.arrived)
	name, service := "", ""
	first := time.Duration(-1)
	if !j.firstAt.IsZero() {
		first = j.firstAt.Sub(j.arrived)
	}
	if j.route != nil {
		name, service = j.route.Name, j.service.Name
	}
	r.metrics.answered(outcome, status, took)
	e := r.settings.Log.Info()
	if outcome != outcomeAnswered {
		e = r.settings.Log.Warn()
	}
	if j.suspect {
		e.Stringer("Same", j.same())
	}
	e.Str("Request", j.call.ID).Str("Outcome", outcome).Int("Status", status).Str("Reason", reason).
		Str("Route", name).Str("Service", service).Str("Workspace", j.workspaceName()).Str("Adapter", j.call.Adapter).
		Str("Backend", j.choice.Name).Int("Sent", j.sent).Strs("Tried", j.avoid).Dur("Took", took).Dur("Waited", j.waited).Dur("First", first).
		Int("Prompt", j.call.PromptTokens).Int("Answer", j.call.AnswerTokens).Int("Expected", j.call.ExpectedTokens).
		Dur("Target", targetOf(j.route)).Bool("Away", j.choice.Away).Int64("Bytes", j.bytes).
		Dur("Backlog", j.choice.Backlog).Dur("Read", j.choice.Read).Dur("Load", j.choice.Load).Int("Running", j.choice.Running).
		Dur("ReportAge", j.choice.Age).Uint64("Revision", r.settings.View().Revision).Msg("call")
}

// targetOf returns the time that is wanted of calls on a route; 0 where none is known.
func targetOf(r *tracker.Route) time.Duration {
	if r == nil {
		return 0
	}
	return r.Target
}

const outcomeAnswered = "answered"
