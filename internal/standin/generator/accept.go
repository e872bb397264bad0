package generator

import (
	"fmt"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const defaultMaxTokens = 16

// refusal is an error answer to a request.
type refusal struct {
	status int
	detail orderer.ErrorDetail
}

func refuse(status int, kind, message string) *refusal {
	return &refusal{status: status, detail: orderer.ErrorDetail{Message: message, Type: kind, Code: status}}
}

func badRequest(message string) *refusal {
	return refuse(http.StatusBadRequest, orderer.TypeBadRequest, message)
}

func unknownModel(model string) *refusal {
	return refuse(http.StatusNotFound, orderer.TypeNotFound, fmt.Sprintf("The model %#q does not exist.", model))
}

// newRequestSpec validates a generation request and returns its parameters.
func newRequestSpec(endpoint orderer.Endpoint, r *orderer.CompletionRequest, id, key string) (requestSpec, *refusal) {
	limit := r.MaxTokens
	if r.MaxCompletionTokens != 0 {
		limit = r.MaxCompletionTokens
	}
	if limit == 0 {
		limit = defaultMaxTokens
	}
	q := requestSpec{
		Request:   id,
		Key:       key,
		Endpoint:  endpoint,
		Model:     r.Model,
		Prompt:    r.FullPrompt(),
		MaxTokens: limit,
		Priority:  r.Priority,
		Created:   time.Now().Unix(),
		Usage:     r.StreamOptions != nil && r.StreamOptions.IncludeUsage,
	}
	q.PromptTokens = max(1, orderer.CountTokens(q.Prompt))
	switch {
	case limit < 0:
		return q, badRequest("max_tokens must be at least 1")
	case endpoint == orderer.ChatCompletions && len(r.Messages) == 0:
		return q, badRequest("messages must not be empty")
	case endpoint == orderer.Completions && r.Prompt == "":
		return q, badRequest("prompt must not be empty")
	}
	return q, nil
}

// accept queues the request for the batch, or returns the refusal to answer it with.
func (e *Engine) accept(q requestSpec) (*sequence, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Model != e.settings.BaseModel && !e.slots.resident(q.Model) {
		return nil, unknownModel(q.Model)
	}
	if e.role == orderer.Decode || e.faults.RefuseGeneration {
		return nil, refuse(http.StatusServiceUnavailable, orderer.TypeOverloaded, "the engine takes no new requests")
	}
	if len(e.batch.waiting) >= e.settings.MaxWaiting {
		return nil, refuse(http.StatusServiceUnavailable, orderer.TypeOverloaded, "too many requests wait")
	}
	if known, ok := e.sequences[q.Request]; ok && known.outcome == InProgress {
		return nil, refuse(http.StatusConflict, orderer.TypeDuplicateID, "a request of this id is in progress")
	}
	s := newSequence(q)
	e.queueSequence(s)
	return s, nil
}

// queueSequence records the sequence as a run and queues it for the batch. The caller holds mu.
func (e *Engine) queueSequence(s *sequence) {
	now := time.Now()
	s.run = int64(len(e.record.Runs)) + 1
	e.record.Runs = append(e.record.Runs, Run{
		Sequence:    s.run,
		Request:     s.Request,
		Key:         s.Key,
		Model:       s.Model,
		Accepted:    now,
		Imported:    s.imported,
		Incarnation: e.incarnation,
	})
	e.sequences[s.Request] = s
	e.batch.enqueue(s)
	e.recordLoad(now)
	e.wake()
}

// attach registers a listener of the sequence and stops a running grace period.
func (e *Engine) attach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.listeners++
	if s.grace != nil {
		s.grace.Stop()
	}
}

// detach removes a listener of the sequence. When it was the last one, the grace
// period begins.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.listeners--
	e.startGraceTimer(s)
}

// startGraceTimer ends the sequence as Abandoned after Settings.StreamGrace if it
// still has no listener. The caller holds mu.
func (e *Engine) startGraceTimer(s *sequence) {
	if s.listeners > 0 || s.outcome != InProgress {
		return
	}
	s.grace = time.AfterFunc(e.settings.StreamGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.listeners == 0 && s.outcome == InProgress {
			e.end(s, Abandoned, &orderer.ErrorDetail{
				Message: "nobody listened", Type: orderer.TypeCancelled, Code: http.StatusRequestTimeout,
			})
		}
	})
}

// progress returns a snapshot of the sequence's progress.
func (e *Engine) progress(s *sequence) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		generated: s.generated,
		cached:    s.cached,
		outcome:   s.outcome,
		failure:   s.failure,
		changed:   s.changed,
	}
}

// find returns the sequence of the request id, or nil.
func (e *Engine) find(request string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[request]
}

// takeStreamDrop consumes one of the stream drops to inject and returns the number of
// events after which to cut the stream, or false if there is none.
func (e *Engine) takeStreamDrop() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DropStreams <= 0 {
		return 0, false
	}
	e.faults.DropStreams--
	return e.faults.DropAfter, true
}
