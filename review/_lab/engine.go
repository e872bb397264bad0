package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const modelName = "daka510000"

// engineWorker is a model worker.
type engineWorker struct {
	lab     *lab
	id      string
	service string
	address string
	// backups holds, by request, the address of the worker to which the memory of its run is sent. All
	// workers share it.
	backups *sync.Map
	// lose decides whether the answer of a run is lost, and at which event.
	lose func(events int) (at int, lost bool)

	mu       sync.Mutex
	adapters []string
	seq      int
	active   int
	runs     []*engineRun
}

// engineRun is one run of a request at one worker. Its fields are guarded by the worker's mu.
type engineRun struct {
	request, worker, from string
	began, ended          time.Time
	first, last           int
	lost                  bool
}

const (
	eventPause = 40 * time.Millisecond
)

func (l *lab) newEngineWorker(host int, id, service string, backups *sync.Map, lose func(int) (int, bool)) (*engineWorker, error) {
	w := &engineWorker{lab: l, id: id, service: service, address: l.address(host, offsetApp), backups: backups, lose: lose}
	socket, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			l.note("%s: %v", id, err)
		}
	}()
	l.onClose(func() { _ = server.Close() })
	l.beat(id, func(seq int) map[string]any {
		return map[string]any{
			"service": service, "address": w.address, "zone": "catania-a", "version": "v1", "slots": 64, "state": "ready",
			"coldLeftMs": 0, "phase": "both", "models": w.models(), "seq": seq,
		}
	})
	return w, nil
}

func (w *engineWorker) models() []any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": append([]string{}, w.adapters...)}}
}

func (w *engineWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get(headerExpect); e != "" && e != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.report(out)
	case "/order":
		w.order(out, r)
	case "/health":
		out.Header().Set(headerInstance, w.id)
	default:
		w.generate(out, r)
	}
}

// holds reports whether the worker holds an adapter, of the version that the request expects.
func (w *engineWorker) holds(adapter, version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.adapters, func(a string) bool {
		name, held, _ := strings.Cut(a, "@")
		return name == adapter && (version == "" || version == held)
	})
}

func (w *engineWorker) report(out http.ResponseWriter) {
	models := w.models()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(out).Encode(map[string]any{
		"phase": "both", "models": models, "busy": false, "seq": w.seq, "queued": 0, "active": w.active,
		"kvUsed": 1000 * w.active, "kvTotal": 232000, "handles": 0, "available": map[string]any{"inMemory": []string{modelName}, "onDisk": []string{modelName}},
		"pending": []string{}, "state": "ready", "next": 0, "runs": []any{}, "pinned": 0, "held": 0,
	})
}

func (w *engineWorker) order(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		Expect                            *int
		Fence                             int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Expect != nil && *o.Expect != w.seq {
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.seq++
	w.adapters = slices.DeleteFunc(w.adapters, func(a string) bool { return strings.HasPrefix(a, o.Adapter+"@") })
	if o.Operation == "load" {
		w.adapters = append(w.adapters, fmt.Sprintf("%s@%d", o.Adapter, max(1, o.Version)))
		out.WriteHeader(http.StatusAccepted)
	}
}

// generate runs a stream: it writes an event each eventPause. If its answer is lost, its connection
// is reset after an event, and the run goes on. It stops if its client closes the connection.
func (w *engineWorker) generate(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	if id == "" {
		out.Header().Set(headerNotRun, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, adapter, named := strings.Cut(r.Header.Get(headerModel), "/"); named && !w.holds(adapter, r.Header.Get(headerVersion)) {
		out.Header().Set(headerAttempt, id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, tokens, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	n, _ := strconv.Atoi(tokens)
	events := max(1, n/4)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		first = last + 1
	}
	if from := r.Header.Get(headerFrom); from != "" {
		if copied, ok := w.backups.Load(id); !ok || copied != w.address || from != w.address+"/"+id {
			w.lab.note("%s: no copy of %s", w.id, id)
			out.Header().Set(headerAttempt, id)
			out.Header().Set(headerNotRun, "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if backup := r.Header.Get(headerBackup); backup != "" {
		w.backups.Store(id, backup)
	}
	run := &engineRun{request: id, worker: w.id, from: r.Header.Get(headerFrom), began: time.Now(), first: first}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.active++
	w.mu.Unlock()
	w.lab.note("%s: run of %s begins at event %d, Kv-From %q, Kv-Backup %q", w.id, id, first, run.from, r.Header.Get(headerBackup))
	defer func() {
		w.mu.Lock()
		run.ended = time.Now()
		w.active--
		w.mu.Unlock()
		w.lab.note("%s: run of %s ends after event %d of %d", w.id, id, run.last, events)
	}()
	at, lost := 0, false
	if run.from == "" {
		at, lost = w.lose(events)
	}
	out.Header().Set(headerAttempt, id)
	out.Header().Set(headerSignature, sign(id, w.id))
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Marigoldpoint-Weight-Versions", "1")
	ctx := r.Context()
	for e := first; e <= events; e++ {
		time.Sleep(eventPause)
		if !run.lost && ctx.Err() != nil {
			w.lab.note("%s: the connection of %s has ended", w.id, id)
			return
		}
		w.mu.Lock()
		run.last = e
		w.mu.Unlock()
		if run.lost {
			continue
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: event %d of %s\n\n", e, e, id)
		_ = http.NewResponseController(out).Flush()
		if lost && e == at {
			w.loseAnswer(out, run, e)
			ctx = context.Background()
		}
	}
}

// loseAnswer resets the connection of a run, which goes on.
func (w *engineWorker) loseAnswer(out http.ResponseWriter, run *engineRun, event int) {
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
	w.mu.Lock()
	run.lost = true
	w.mu.Unlock()
	w.lab.note("%s: the answer of %s is lost after event %d; the run goes on", w.id, run.request, event)
}
