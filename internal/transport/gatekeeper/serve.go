package gatekeeper

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// exchange is one HTTP request, with what is known about its caller.
type exchange struct {
	entry *Entry
	w     http.ResponseWriter
	r     *http.Request
	// id is the request id that is part of every answer.
	id    string
	began time.Time
	// holder is the owner of the bearer key.
	holder indexer.KeyHolder
	// content is the body as the caller sent it.
	content []byte
	// keyDecided means that the control group has decided whether the request's
	// idempotency key may run. Before that, the key may have run through another entry.
	keyDecided bool
}

func (e *Entry) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+translator.PathChat, e.handle(func(x *exchange) *translator.Fault {
		return x.completion(messenger.CallKindChat)
	}))
	mux.HandleFunc("POST "+translator.PathCompletion, e.handle(func(x *exchange) *translator.Fault {
		return x.completion(messenger.CallKindCompletion)
	}))
	mux.HandleFunc("GET /v1/models", e.handle((*exchange).models))
	mux.HandleFunc("GET /v1/models/{model...}", e.handle((*exchange).model))
	mux.HandleFunc("/services/{service}", e.handle((*exchange).service))
	mux.HandleFunc("/services/{service}/{path...}", e.handle((*exchange).service))
	mux.HandleFunc("/", e.handle((*exchange).unknownPath))
	return mux
}

// serve checks the size of the header and passes the request on. Without the check, a
// caller whose header exceeds the listener's limit would get an answer without an
// outcome.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if limit := int(e.settings.Entry.MaxHeaderBytes); size > limit {
		w.Header().Set("Connection", "close")
		e.refuse(e.exchange(w, r), translator.NewFault(http.StatusRequestHeaderFieldsTooLarge,
			translator.CodeHeaderTooLarge, "the header has more than %d bytes", limit))
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Entry) exchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{entry: e, w: w, r: r, began: e.settings.Now()}
	x.id = fmt.Sprintf("%s-%016x", e.settings.Node, e.random.uint64())
	w.Header().Set(translator.HeaderRequest, x.id)
	return x
}

// handle wraps a handler with the steps that all requests share.
func (e *Entry) handle(f func(x *exchange) *translator.Fault) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := e.exchange(w, r)
		if !e.begin() {
			w.Header().Set("Connection", "close")
			fault := translator.NewFault(http.StatusServiceUnavailable, translator.CodeStopping, "this entry is stopping")
			fault.RetryAfter = e.random.jitter(time.Second)
			e.refuse(x, fault)
			return
		}
		defer e.end()
		e.settings.Recorder.Record(recorder.Event{Kind: recorder.KindRequestReceived, Request: x.id, Detail: r.Method + " " + r.URL.Path})
		if fault := x.authenticate(); fault != nil {
			e.refuse(x, fault)
			return
		}
		if fault := f(x); fault != nil {
			e.refuse(x, fault)
		}
	}
}

// refuse answers a request with a fault if no part of an answer was sent.
func (e *Entry) refuse(x *exchange, f *translator.Fault) {
	x.markUndecided(f)
	e.metrics.refusals.WithLabelValues(string(f.Code)).Inc()
	e.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindRequestRefused, Request: x.id, Workspace: x.holder.Workspace,
		Detail: fmt.Sprintf("%d %s %s: %s", f.Status, f.Outcome, f.Code, f.Message),
	})
	e.settings.Log.Info().Str("Request", x.id).Str("Workspace", x.holder.Workspace).Int("Status", f.Status).
		Str("Code", string(f.Code)).Stringer("Outcome", f.Outcome).Msg("refused")
	f.Write(x.w, x.id)
}

// markUndecided changes the outcome of a refusal from NotRun to Unknown if it was not
// determined whether the request's key has run.
//
// A caller whose connection broke resends a booking with its key, and reaches an entry
// that has lost the control hosts, is full, or is stopping. This attempt does not run,
// but the first one may have: a caller that is told NotRun would book again under
// another key, and have two bookings. Refusals that the same request would get at any
// time, such as for a malformed body, remain NotRun.
func (x *exchange) markUndecided(f *translator.Fault) {
	if x.keyDecided || f.Outcome != messenger.OutcomeNotRun || x.r.Header.Get(translator.HeaderIdempotencyKey) == "" || f.AlwaysRefused() {
		return
	}
	f.Outcome, f.KeyUndecided = messenger.OutcomeUnknown, true
	f.Message += "; whether a request with this idempotency key has run before is not known"
}

// authenticate finds the owner of the bearer key. Disabled and unknown keys get the
// same answer.
func (x *exchange) authenticate() *translator.Fault {
	key := translator.BearerKey(x.r.Header)
	if key != "" {
		holder, ok := x.entry.settings.Index.KeyByHash(sha256.Sum256([]byte(key)))
		if ok && !holder.Disabled {
			x.holder = holder
			return nil
		}
	}
	return translator.NewFault(http.StatusUnauthorized, translator.CodeInvalidKey, "missing or unknown bearer key")
}

func (x *exchange) unknownPath() *translator.Fault {
	switch x.r.URL.Path {
	case translator.PathChat, translator.PathCompletion:
		x.w.Header().Set("Allow", http.MethodPost)
	case "/v1/models":
		x.w.Header().Set("Allow", http.MethodGet)
	default:
		return translator.NewFault(http.StatusNotFound, translator.CodeNotFound, "there is nothing at this path")
	}
	return translator.NewFault(http.StatusMethodNotAllowed, translator.CodeMethod, "method %.20s is not allowed here", x.r.Method)
}
