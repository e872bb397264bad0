package generator

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// heartbeat is a server-sent-events comment, which clients ignore.
const heartbeat = ": ping\n\n"

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, orderer.Completions)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, orderer.ChatCompletions)
}

func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request, endpoint orderer.Endpoint) {
	var body orderer.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	id := r.Header.Get(orderer.HeaderRequest)
	if id == "" {
		id = "cmpl-" + rand.Text()
	}
	q, refused := newRequestSpec(endpoint, &body, id, r.Header.Get(orderer.HeaderIdempotencyKey))
	if refused != nil {
		writeError(w, refused)
		return
	}
	s, refused := e.accept(q)
	if refused != nil {
		writeError(w, refused)
		return
	}
	e.attach(s)
	defer e.detach(s)
	w.Header().Set(orderer.HeaderRequest, id)
	e.nameLimit(w)
	if body.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.answer(w, r, s)
}

// nameLimit sets the header with the engine's limit of requests, if there is one.
func (e *Engine) nameLimit(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RequestLimit > 0 {
		w.Header().Set(orderer.HeaderRequestLimit, strconv.FormatFloat(e.faults.RequestLimit, 'g', -1, 64))
	}
}

// answer waits for the end of the sequence and writes its answer in one piece.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *sequence) {
	for {
		p := e.progress(s)
		switch {
		case p.failure != nil:
			writeError(w, &refusal{status: p.failure.Code, detail: *p.failure})
			return
		case p.outcome == Completed:
			writeJSON(w, s.fullAnswer(p))
			return
		case p.outcome != InProgress:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		case <-e.context.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := parseNumber(r, orderer.QueryStartingAfter)
	if err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	s := e.find(r.PathValue("id"))
	if s == nil {
		writeError(w, refuse(http.StatusNotFound, orderer.TypeNotFound, "no request of this id"))
		return
	}
	if e.progress(s).outcome == Moved {
		writeError(w, refuse(http.StatusGone, orderer.TypeMoved, "the request was exported"))
		return
	}
	e.attach(s)
	defer e.detach(s)
	w.Header().Set(orderer.HeaderRequest, s.Request)
	e.stream(w, r, s, after)
}

// stream writes the events with numbers above after until the stream ends. It writes a
// heartbeat whenever HeartbeatInterval passes without an event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, after int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	dropAfter, drop := e.takeStreamDrop()
	heartbeatTimer := time.NewTimer(e.settings.HeartbeatInterval)
	defer heartbeatTimer.Stop()
	var line []byte
	for written := 0; ; {
		p := e.progress(s)
		for last := s.available(p); after < last; written++ {
			if drop && written >= dropAfter {
				_ = flusher.Flush()
				panic(http.ErrAbortHandler)
			}
			after++
			line = appendEvent(line[:0], after, s.event(s.seed, after, p))
			if _, err := w.Write(line); err != nil {
				return
			}
		}
		if p.outcome != InProgress && p.outcome != Completed && p.failure == nil {
			panic(http.ErrAbortHandler) // Lost: cut the connection without an error event.
		}
		_ = flusher.Flush()
		if p.outcome != InProgress {
			return
		}
		heartbeatTimer.Reset(e.settings.HeartbeatInterval)
		if !e.awaitProgress(w, r, p, heartbeatTimer) {
			return
		}
	}
}

// awaitProgress waits until the sequence makes progress, or writes a heartbeat when the
// timer fires. It returns false if the client has disconnected.
func (e *Engine) awaitProgress(w http.ResponseWriter, r *http.Request, p progress, heartbeatTimer *time.Timer) bool {
	select {
	case <-p.changed:
	case <-heartbeatTimer.C:
		if !e.waitWhileFrozen() {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(heartbeat)); err != nil {
			return false
		}
	case <-r.Context().Done():
		return false
	case <-e.context.Done():
		panic(http.ErrAbortHandler)
	}
	return true
}

func appendEvent(line []byte, number int64, data []byte) []byte {
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, number, 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	return append(line, "\n\n"...)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	var answer orderer.Cancellation
	if s, ok := e.sequences[r.PathValue("id")]; ok {
		answer.Known = true
		answer.Began = s.began
		answer.Ended = s.outcome != InProgress
		if !answer.Ended {
			e.end(s, Cancelled, &orderer.ErrorDetail{
				Message: "cancelled", Type: orderer.TypeCancelled, Code: http.StatusConflict,
			})
			e.recordLoad(time.Now())
		}
	}
	e.mu.Unlock()
	writeJSON(w, answer)
}
