package relayer

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// job is one call in progress.
type job struct {
	relayer *Relayer
	answer  answer
	request *http.Request
	call    Call
	route   *tracker.Route
	// workspace is the caller's workspace, from the configuration with the given
	// number; nil if no key is needed.
	workspace *tracker.Workspace
	number    uint64
	// quotaCost is the amount charged to the workspace's quota, and ran means that a
	// backend server may have started the call.
	quotaCost float64
	ran       bool
	// rejection is the reason for which the call may not be sent any more; nil if it
	// may.
	rejection *rejection
	service   *tracker.Service
	body      []byte
	// account counts what the caller's request holds.
	account *allotter.Account
	// holding counts what the call buffers of answers, and bounded means that it is limited.
	holding *allotter.Holding
	bounded bool
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	deadline time.Time
	ctx      context.Context

	// avoid holds the names of the backend servers that were tried.
	avoid []string
	// sent counts the backend servers that the call was sent to, and mayHaveRun means
	// that one of them may have run it.
	sent       int
	mayHaveRun bool
	// reached counts the attempts that reached a backend server, including those that
	// reached an incarnation they were not meant for.
	reached int
	// failed is the answer of a backend server that failed; it is sent if no other
	// answer comes.
	failed *wholeAnswer
	// firstEventAt is when a stream's first event was forwarded to the caller.
	firstEventAt time.Time
	// lastEventAt is when the last part of a stream was forwarded, and longestGap the longest
	// time between two of them.
	lastEventAt time.Time
	longestGap  time.Duration
	// backup is the engine that keeps a copy of the request's KV cache; its name is
	// empty if there is none. resumeFrom is set for an attempt that resumes from a
	// copy, at the engine named resumeAt. source is the engine whose run was interrupted.
	backup     placer.Choice
	resumeFrom string
	resumeAt   string
	source     incarnation
	// weights is the version of the model's weights with which the stream's KV cache is made; 0
	// means unknown. adapterVersion is that of the adapter; 0 means none.
	weights, adapterVersion uint64
	// lastEvent is the id of the last complete event that was forwarded.
	lastEvent string
	choice    placer.Choice
	// returns is the number of times that a companion has returned the call because it
	// would take much longer there than expected; at most maxReturns.
	returns int
	// retryReserved means that the next attempt is reserved in the retry budget, and
	// retryInFlight that the current one is counted there as in flight.
	retryReserved, retryInFlight bool
	// unread are the attempts that may still be read.
	unread []unreadAttempt
	waited time.Duration
	// current is the attempt in progress.
	current *attempt
	// answerBody is the body of the answer to the last attempt; nil if it got none.
	answerBody *exchanger.Body
	// software is the software version that began the stream and must continue it; empty
	// means that the stream has not begun.
	software string
	// originSource is the source of the origin, if the caller resumes a stream.
	originSource originSource
	// suspect means that backend servers ended while they ran the request, in this call
	// or before.
	suspect bool
	// survived means that the backend server of the current attempt has begun to answer and did
	// not crash.
	survived bool
	// blocked is the name of the blocked part for which the call is refused; empty if there is
	// none. trial means that the call is the trial of trialPart, and trialAsked that it asked to
	// be.
	blocked           string
	trial, trialAsked bool
	trialPart         uint64
	// attemptAt is when the current attempt was sent, and counted means that the engine's
	// companion has admitted it, and has counted it under the engine's limit.
	attemptAt time.Time
	counted   bool
	// knownRevision is the revision of the view when the current attempt was sent.
	knownRevision uint64
	// limitRefusals is the number of backend servers that had no turn for the call under
	// their limit.
	limitRefusals int
	// overloadRefusals is the number of companions that refused the call since it would wait
	// until after its deadline, and shortageEnd the earliest end of the shortage that they
	// expect.
	overloadRefusals int
	shortageEnd      time.Duration
	// bytesBeforeAttempt is the number of bytes sent to the caller before the current
	// attempt.
	bytesBeforeAttempt int64
	// identityCache caches the call's identity and hash, which are computed on first use.
	identityCache identityCache
}

// wholeAnswer is a complete answer.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP serves one call.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	j := &job{relayer: r, answer: answer{writer: w, request: request}, request: request, arrived: r.settings.Now(), ctx: request.Context()}
	account, end := r.openAccount(request)
	defer end()
	j.account = account
	defer j.refundQuota()
	defer j.cancelRetry()
	defer j.releaseBuffers()
	j.serve() //nolint:contextcheck // The job holds its context, and releases its admission even if the caller has left.
	j.answer.end()
}

// serve processes the call and sends its answer to the caller.
func (j *job) serve() {
	bounded, unbind := j.relayer.boundByStop(j.ctx)
	defer unbind()
	j.ctx = bounded
	if err := j.receive(); err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	j.ctx = ctx
	if err := j.bindToSoftware(); err != nil {
		return
	}
	j.run()
}

// Parts of answers to callers.
const (
	reasonNoRouting = "no configuration is known yet"
	reasonNoRoute   = "no route"
)

// errAnswered means that the call has already been answered.
const errAnswered = errors.ConstError("answered")

// receive reads the request, finds its route and charges its quota. It answers requests
// that can't be served, and returns errAnswered for them.
func (j *job) receive() error {
	r := j.relayer
	call, err := r.settings.Translator.Call(j.request)
	if err != nil {
		return j.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	j.call = call
	if t := target(j.request); targetURL(t).RequestURI() != t {
		return j.refuse(http.StatusBadRequest, "the path can't be forwarded unchanged", 0)
	}
	routing := j.awaitRouting()
	if routing == nil {
		return j.refuse(http.StatusServiceUnavailable, reasonNoRouting, r.settings.RetryAfter)
	}
	if err := j.identify(); err != nil {
		return err
	}
	j.setDeadline()
	if j.refuseStopping() {
		return errAnswered
	}
	j.boundBuffers()
	if err := j.charge(); err != nil {
		return err
	}
	limit := cmp.Or(routing.Limits.BodyBytes, DefaultBodyBytes)
	if err := j.readBody(limit); err != nil {
		return err
	}
	r.budget.call(r.settings.BootNow(), j.service.Name)
	return nil
}

// setDeadline sets the deadline of a call whose route is known.
func (j *job) setDeadline() {
	wait := j.route.Timeout
	if j.call.Deadline > 0 {
		wait = min(wait, j.call.Deadline)
	}
	j.deadline = j.arrived.Add(wait)
}

// awaitRouting returns the configuration in force, or nil. Shortly after the start of a
// process the call waits for it, for as long as it may be held.
func (j *job) awaitRouting() *tracker.Routing {
	j.deadline = j.arrived.Add(cmp.Or(j.call.Deadline, defaultDeadline))
	for {
		routing := j.relayer.Routing()
		if routing != nil || !j.mayHold() || !pauser.Pause(j.ctx, holdPause) {
			return routing
		}
	}
}

// defaultDeadline is the deadline of calls without one, until their route is known.
const defaultDeadline = 2 * time.Second

// refuse answers the call without a backend server, and returns errAnswered. A status
// of 429 or 503 guarantees that the call has not run and will not run.
func (j *job) refuse(status int, reason string, after time.Duration) error {
	h := http.Header{"Content-Type": {"text/plain"}}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	j.sendWhole(outcomeRefused, wholeAnswer{status: status, header: h, body: []byte(reason + "\n")}, reason)
	return errAnswered
}

// logLeft logs that the caller has left.
func (j *job) logLeft() { j.log(outcomeLeft, j.answer.status, "the caller has left") }

// log writes the single log line of a call and updates the metrics.
func (j *job) log(outcome string, status int, reason string) {
	r := j.relayer
	took := r.settings.Now().Sub(j.arrived)
	name, service := "", ""
	first := time.Duration(-1)
	if !j.firstEventAt.IsZero() {
		first = j.firstEventAt.Sub(j.arrived)
	}
	if j.route != nil {
		name, service = j.route.Name, j.service.Name
	}
	r.metrics.observeCall(outcome, status, took)
	e := r.settings.Log.Info()
	if outcome != outcomeAnswered {
		e = r.settings.Log.Warn()
	}
	if j.blocked != "" {
		e.Str("BlockedPart", j.blocked)
	}
	if j.suspect {
		e.Stringer("Same", j.requestIdentity())
	}
	j.addFraming(e)
	j.addSoftware(e)
	j.addStateAge(e)
	j.addPrompt(e)
	j.addGroup(e)
	e.Str("Request", j.call.ID).Str("Outcome", outcome).Int("Status", status).Str("Reason", reason).
		Str("Route", name).Str("Service", service).Str("Workspace", j.workspaceName()).Str("Adapter", j.call.Adapter).
		Str("Backend", j.choice.Name).Int("Sent", j.sent).Strs("Tried", j.avoid).Dur("Took", took).Dur("Waited", j.waited).Dur("First", first).
		Int("Prompt", j.call.PromptTokens).Int("Answer", j.call.AnswerTokens).Int("Expected", j.call.ExpectedTokens).
		Dur("Target", targetOf(j.route)).Dur("Gap", j.longestGap).Dur("MaxGap", maxGapOf(j.route)).Bool("Away", j.choice.Away).Int64("Bytes", j.answer.bytes).
		Dur("Backlog", j.choice.Backlog).Dur("Read", j.choice.Read).Dur("Load", j.choice.Load).Int("Running", j.choice.Running).
		Dur("ReportAge", j.choice.Age).Uint64("Revision", r.settings.View().Revision).Strs("Parts", formatParts(j.call.partIDs())).Msg("call")
}

// addStateAge adds the ages of the known state to a log line, as far as they are known: by the
// reports of the control host, and by the entry's own requests. A state that looks younger by the
// former was reported late.
func (j *job) addStateAge(e *zerolog.Event) {
	control := j.relayer.settings.Control
	if control == nil {
		return
	}
	if age, ok := control.Age(); ok {
		e.Dur("StateAge", age)
	}
	if age, ok := control.ConfirmedAge(); ok {
		e.Dur("ConfirmedAge", age)
	}
}

// addFraming adds the framing of the answer to the last attempt to a log line, and the number
// of bytes that were read of an incomplete event.
func (j *job) addFraming(e *zerolog.Event) {
	if b := j.answerBody; b != nil {
		e.Stringer("Framing", b.Framing()).Int("Unfinished", b.Unfinished())
	}
}

// addSoftware adds the versions of the software and of the model's weights of the backend server
// chosen last to a log line, as far as they are known. For a
// stream that the caller resumes, it adds the attempt that began the stream, the last event,
// the required software version and the source of the origin.
func (j *job) addSoftware(e *zerolog.Event) {
	if j.choice.Software != "" {
		e.Str("Software", j.choice.Software)
	}
	if j.choice.Weights > 0 {
		e.Uint64("Weights", j.choice.Weights)
	}
	if j.route != nil && j.resumesStream() {
		e.Str("Resumes", j.call.Resumes).Str("LastEvent", j.call.LastEvent).Str("RequiredSoftware", j.software).Str("OriginSource", string(j.originSource))
	}
}

// targetOf returns the target time for calls on a route, or 0 if the route is unknown.
func targetOf(r *tracker.Route) time.Duration {
	if r == nil {
		return 0
	}
	return r.Target
}

// maxGapOf returns the target for the time between two events of a stream on a route, or 0 if
// the route is unknown or has none.
func maxGapOf(r *tracker.Route) time.Duration {
	if r == nil || !r.Stream {
		return 0
	}
	return r.MaxEventGap
}

// Outcomes of calls, as written to logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	// outcomeBroken means that the answer was aborted after part of it had been sent.
	outcomeBroken = "broken"
	outcomeLeft   = "left"
)
