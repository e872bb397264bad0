package generator

import (
	"fmt"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const defaultMaxTokens = 16

// refusal is an answer that is not a success.
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

// newQuestion checks a request and returns what it asks.
func newQuestion(endpoint orderer.Endpoint, r *orderer.CompletionRequest, id, key string) (question, *refusal) {
	limit := r.MaxTokens
	if r.MaxCompletionTokens != 0 {
		limit = r.MaxCompletionTokens
	}
	if limit == 0 {
		limit = defaultMaxTokens
	}
	q := question{
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

// accept lets the question wait for the batch, or refuses it before it can begin.
func (e *Engine) accept(q question) (*sequence, *refusal) {
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
	e.add(s)
	return s, nil
}

// add records the sequence and lets it wait. It needs mu.
func (e *Engine) add(s *sequence) {
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
	e.note(now)
	e.poke()
}

// attach notes a listener of the sequence.
func (e *Engine) attach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.listeners++
	if s.grace != nil {
		s.grace.Stop()
	}
}

// detach notes that a listener left. The last one leaves the sequence its grace.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.listeners--
	e.watch(s)
}

// watch ends the sequence after the grace if nobody listens then. It needs mu.
func (e *Engine) watch(s *sequence) {
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

// progress returns where the sequence stands.
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

// takeDrop returns the number of events after which a new stream is to be cut, or
// false.
func (e *Engine) takeDrop() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DropStreams <= 0 {
		return 0, false
	}
	e.faults.DropStreams--
	return e.faults.DropAfter, true
}
