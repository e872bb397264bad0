package generator

import (
	"encoding/json"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	roleAssistant    = "assistant"
	finishLength     = "length"
)

// requestSpec contains the parameters of a request. They are constant and are exported
// with the request.
type requestSpec struct {
	Request      string
	Key          string
	Endpoint     orderer.Endpoint
	Model        string
	Prompt       string
	PromptTokens int
	// MaxTokens is the number of tokens of the complete answer; it is positive.
	MaxTokens int
	Priority  int
	// Created is the time of acceptance in Unix seconds.
	Created int64
	// Usage requests the token usage at the end of a stream.
	Usage bool
}

// sequence is one accepted generation request. Engine.mu guards its mutable fields.
type sequence struct {
	requestSpec
	priority int
	seed     uint64
	// run is the Sequence of the request in the record.
	run int64
	// imported is set if another engine began the sequence.
	imported  bool
	generated int
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	// began is set when the sequence enters the batch for the first time.
	began bool
	// held is set after the prefill by an engine with the prefill role: the sequence has
	// left the batch and waits for its export.
	held    bool
	outcome Outcome
	// failure is the error that ends the stream, or nil.
	failure *orderer.ErrorDetail
	// changed is closed and replaced whenever the sequence makes progress.
	changed chan struct{}
	// listeners is the number of connections that wait for the answer.
	listeners int
	// grace ends the sequence when it has had no listener for Settings.StreamGrace.
	grace *time.Timer
}

func newSequence(q requestSpec) *sequence {
	return &sequence{
		requestSpec: q,
		priority:    q.Priority,
		seed:        textSeed(q.Model, q.Prompt),
		changed:     make(chan struct{}),
	}
}

// notify wakes the listeners.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a snapshot of a sequence for its listeners.
type progress struct {
	generated int
	cached    int
	outcome   Outcome
	failure   *orderer.ErrorDetail
	changed   <-chan struct{}
}

// preamble returns the number of events before the first token.
func (q *requestSpec) preamble() int64 {
	if q.Endpoint == orderer.ChatCompletions {
		return 1
	}
	return 0
}

// available returns the number of events that the stream has so far.
func (q *requestSpec) available(p progress) int64 {
	count := int64(p.generated)
	if count > 0 {
		count += q.preamble()
	}
	switch {
	case p.failure != nil:
		count++
	case p.outcome == Completed && q.Usage:
		count += 2
	case p.outcome == Completed:
		count++
	}
	return count
}

// event returns the data of the event with the number, which must be available.
func (q *requestSpec) event(seed uint64, number int64, p progress) []byte {
	last := q.available(p)
	switch {
	case p.failure != nil && number == last:
		return mustMarshal(orderer.ErrorBody{Error: *p.failure})
	case p.outcome == Completed && number == last:
		return []byte(orderer.DoneMark)
	case p.outcome == Completed && q.Usage && number == last-1:
		chunk := q.chunk()
		chunk.Choices = []orderer.Choice{}
		chunk.Usage = q.usage(p)
		return mustMarshal(chunk)
	}
	chunk := q.chunk()
	chunk.Choices = []orderer.Choice{q.choice(seed, int(number-q.preamble()-1))}
	return mustMarshal(chunk)
}

// choice returns the choice with the token at the index; -1 is the preamble of a
// chat.
func (q *requestSpec) choice(seed uint64, index int) orderer.Choice {
	var c orderer.Choice
	text := ""
	if index >= 0 {
		text = tokenText(seed, index)
	}
	if index == q.MaxTokens-1 {
		reason := finishLength
		c.FinishReason = &reason
	}
	if q.Endpoint == orderer.Completions {
		c.Text = &text
		return c
	}
	c.Delta = &orderer.Delta{Content: text}
	if index < 0 {
		c.Delta.Role = roleAssistant
	}
	return c
}

func (q *requestSpec) chunk() orderer.Chunk {
	object := objectCompletion
	if q.Endpoint == orderer.ChatCompletions {
		object = objectChatChunk
	}
	return orderer.Chunk{ID: q.Request, Object: object, Created: q.Created, Model: q.Model}
}

// fullAnswer returns the non-streamed answer to a completed request.
func (q *requestSpec) fullAnswer(p progress) orderer.Chunk {
	answer := q.chunk()
	answer.Usage = q.usage(p)
	text := Expected(q.Model, q.Prompt, q.MaxTokens)
	reason := finishLength
	choice := orderer.Choice{FinishReason: &reason}
	if q.Endpoint == orderer.ChatCompletions {
		answer.Object = objectChat
		choice.Message = &orderer.Delta{Role: roleAssistant, Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []orderer.Choice{choice}
	return answer
}

func (q *requestSpec) usage(p progress) *orderer.Usage {
	return &orderer.Usage{
		PromptTokens:     q.PromptTokens,
		CompletionTokens: p.generated,
		TotalTokens:      q.PromptTokens + p.generated,
		PromptDetails:    &orderer.PromptTokenDetails{CachedTokens: p.cached},
	}
}

// mustMarshal encodes one of the package's own messages, for which encoding can't fail.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("generator: message that can't be encoded")
	}
	return data
}
