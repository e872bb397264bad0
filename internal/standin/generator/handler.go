package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const maxBodyBytes = 256 << 20

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+orderer.PathCompletions, e.serveCompletions)
	mux.HandleFunc("POST "+orderer.PathChatCompletions, e.serveChat)
	mux.HandleFunc("GET "+orderer.PathModels, e.serveModels)
	mux.HandleFunc("GET "+orderer.PathStreams+"{id}", e.serveResume)
	mux.HandleFunc("POST "+orderer.PathStreams+"{id}"+orderer.CancelSuffix, e.serveCancel)
	mux.HandleFunc("POST "+orderer.PathLoadAdapter, e.serveLoadOrder)
	mux.HandleFunc("POST "+orderer.PathUnloadAdapter, e.serveUnloadOrder)
	mux.HandleFunc("POST "+orderer.PathRole, e.serveRoleOrder)
	mux.HandleFunc("POST "+orderer.PathExportKV, e.serveExport)
	mux.HandleFunc("POST "+orderer.PathImportKV, e.serveImport)
	mux.HandleFunc("GET "+orderer.PathState, e.serveState)
	mux.HandleFunc("GET "+orderer.PathLoad, e.serveReport)
	mux.HandleFunc("GET "+orderer.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+orderer.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

	outer := http.NewServeMux()
	outer.HandleFunc("POST "+PathFaults, e.serveFaults)
	outer.HandleFunc("GET "+PathRecord, e.serveRecord)
	outer.Handle("/", e.gate(mux))
	return outer
}

// gate reads the complete request before it waits until the engine is not frozen: a
// request that was received is processed after the thaw even if its client has
// disconnected.
func (e *Engine) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		incarnationContext := e.beginRequest()
		if incarnationContext == nil {
			panic(http.ErrAbortHandler)
		}
		defer e.running.Done()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, badRequest("body: "+err.Error()))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !e.waitWhileFrozen() || incarnationContext.Err() != nil {
			panic(http.ErrAbortHandler) // A restart discards requests received before it.
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(incarnationContext, cancel)() //nolint:contextcheck // The request ends with either of the two.
		e.mu.Lock()
		w.Header().Set(orderer.HeaderIncarnation, e.incarnation)
		e.mu.Unlock()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// beginRequest registers a request that Close has to wait for. It returns the context of
// the current incarnation, or nil if the engine has closed.
func (e *Engine) beginRequest() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.context.Err() != nil {
		return nil
	}
	e.running.Add(1)
	return e.incarnationContext
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := orderer.EngineState{
		Incarnation:   e.incarnation,
		BaseModel:     e.settings.BaseModel,
		Slots:         e.settings.Slots,
		MaxBatch:      e.settings.MaxBatch,
		BlockTokens:   e.settings.BlockTokens,
		Adapters:      make([]orderer.AdapterState, 0, len(e.slots.occupied)),
		Running:       len(e.batch.running),
		Waiting:       len(e.batch.waiting),
		ChecksFencing: e.checksFencing(),
		Role:          e.role,
		HighestFence:  e.fence,
	}
	for _, s := range e.slots.occupied {
		state.Adapters = append(state.Adapters, orderer.AdapterState{
			Name: s.name, Path: s.path, Phase: s.phase, InUse: e.inUse(s.name),
		})
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.recordLoad(now)
	report := e.reports.at(now)
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseNumber(r, orderer.QueryAfter)
	if err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	e.mu.Lock()
	events := orderer.CacheEvents{Incarnation: e.incarnation, Events: e.events.after(time.Now(), after)}
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveRecord(w http.ResponseWriter, r *http.Request) {
	after, err := parseNumber(r, orderer.QueryAfter)
	if err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	e.mu.Lock()
	record := e.record.after(after)
	e.mu.Unlock()
	writeJSON(w, record)
}

// modelList is the list of models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	const object, owner = "model", "vllm"
	e.mu.Lock()
	list := modelList{Object: "list", Data: []modelCard{{ID: e.settings.BaseModel, Object: object, OwnedBy: owner}}}
	for _, s := range e.slots.occupied {
		if s.phase == orderer.Resident {
			list.Data = append(list.Data, modelCard{ID: s.name, Object: object, OwnedBy: owner, Parent: e.settings.BaseModel})
		}
	}
	e.mu.Unlock()
	writeJSON(w, list)
}

// parseNumber returns the value of a query parameter, or 0 if it is missing.
func parseNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, r *refusal) {
	w.Header().Set("Content-Type", "application/json")
	if r.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(orderer.ErrorBody{Error: r.detail})
}
