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

// exchange is one HTTP request and what is known of its caller.
type exchange struct {
	entry *Entry
	w     http.ResponseWriter
	r     *http.Request
	// id is the request id that every answer names.
	id    string
	began time.Time
	// holder is whom the bearer key belongs to.
	holder indexer.KeyHolder
	// content is the body as the caller sent it.
	content []byte
	// decided tells that the control group has said whether the request's idempotency
	// key may run: until then it may have, through another entry.
	decided bool
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

// serve checks the header's size and passes the request on. Without the check a
// caller with a header over the listener's limit would get an answer without an
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

// handle wraps a handler with what all requests have in common.
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

// refuse answers a request of which nothing has been answered.
func (e *Entry) refuse(x *exchange, f *translator.Fault) {
	x.undecide(f)
	e.metrics.refusals.WithLabelValues(string(f.Code)).Inc()
	e.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindRequestRefused, Request: x.id, Workspace: x.holder.Workspace,
		Detail: fmt.Sprintf("%d %s %s: %s", f.Status, f.Outcome, f.Code, f.Message),
	})
	e.settings.Log.Info().Str("Request", x.id).Str("Workspace", x.holder.Workspace).Int("Status", f.Status).
		Str("Code", string(f.Code)).Stringer("Outcome", f.Outcome).Msg("refused")
	f.Write(x.w, x.id)
}

// undecide takes "not run" back from a refusal that was given before anybody was asked
// whether the request's key has run.
//
// A caller sends a booking again, with its key, when its connection broke; it comes to an
// entry that has lost the control hosts, or is full, or stops. Nothing runs by this
// sending. But the booking may have run by the first one: a caller who is told that
// nothing did books under another key, and has two. What the same request would meet at
// any time, as a body that can't be read, stays not run.
func (x *exchange) undecide(f *translator.Fault) {
	if x.decided || f.Outcome != messenger.OutcomeNotRun || x.r.Header.Get(translator.HeaderIdempotencyKey) == "" || f.Inherent() {
		return
	}
	f.Outcome, f.Undecided = messenger.OutcomeUnknown, true
	f.Message += "; whether a request with this idempotency key has run before is not known"
}

// authenticate finds whom the bearer key belongs to. A disabled key and an
// unknown one get the same answer.
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
