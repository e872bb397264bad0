package companion

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// prepare reads the format of the answer from the request's body.
func (r *run) prepare() {
	var body orderer.CompletionRequest
	if err := json.Unmarshal(r.job.dispatch.Body, &body); err == nil && body.StreamOptions != nil {
		r.includeUsage = body.StreamOptions.IncludeUsage
	}
	if !r.job.dispatch.Stream {
		r.builder = &builder{chat: r.job.dispatch.Kind == messenger.CallKindChat}
	}
}

// builder assembles the chunks of a streamed answer into the complete answer to a request
// without streaming. The engine is always asked for a stream, since only a stream can be
// resumed.
type builder struct {
	chat bool
	// answer holds the members from the first chunk; nil before it.
	answer  *completeAnswer
	choices []*completeChoice
}

// completeAnswer is the answer in OpenAI's format.
type completeAnswer struct {
	ID          string            `json:"id"`
	Object      string            `json:"object"`
	Created     int64             `json:"created"`
	Model       string            `json:"model"`
	Fingerprint json.RawMessage   `json:"system_fingerprint,omitempty"`
	Choices     []*completeChoice `json:"choices"`
	Usage       json.RawMessage   `json:"usage,omitempty"`
}

// answerChunk is one chunk of the stream.
type answerChunk struct {
	completeAnswer
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text"`
	Delta        delta           `json:"delta"`
	Logprobs     logprobs        `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
	StopReason   json.RawMessage `json:"stop_reason"`
}

type completeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *message        `json:"message,omitempty"`
	Logprobs     logprobs        `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
	StopReason   json.RawMessage `json:"stop_reason,omitempty"`

	text strings.Builder
}

// logprobs are the lists of OpenAI's log probabilities, by name; those of successive chunks
// are concatenated.
type logprobs map[string][]json.RawMessage

// add adds a chunk.
func (b *builder) add(data []byte) error {
	var chunk answerChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Annotate(err, "chunk")
	}
	if b.answer == nil {
		b.answer = &completeAnswer{ID: chunk.ID, Created: chunk.Created, Model: chunk.Model, Fingerprint: chunk.Fingerprint}
	}
	if isSet(chunk.Usage) {
		b.answer.Usage = chunk.Usage
	}
	for i := range chunk.Choices {
		c := &chunk.Choices[i]
		if c.Index < 0 || c.Index >= maxChoices {
			return errors.NotValidf("choice %d", c.Index)
		}
		for len(b.choices) <= c.Index {
			b.choices = append(b.choices, &completeChoice{Index: len(b.choices), FinishReason: jsonNull})
		}
		if err := b.choices[c.Index].add(c); err != nil {
			return errors.Annotatef(err, "choice %d", c.Index)
		}
	}
	return nil
}

// maxChoices limits the number of choices in an answer, as OpenAI does.
const maxChoices = 128

var jsonNull = json.RawMessage("null")

// isSet reports whether a member is present and not null.
func isSet(v json.RawMessage) bool { return len(v) > 0 && string(v) != "null" }

func (choice *completeChoice) add(c *chunkChoice) error {
	if c.Text != nil {
		choice.text.WriteString(*c.Text)
	}
	for name, list := range c.Logprobs {
		if choice.Logprobs == nil {
			choice.Logprobs = logprobs{}
		}
		choice.Logprobs[name] = append(choice.Logprobs[name], list...)
	}
	if isSet(c.FinishReason) {
		choice.FinishReason = c.FinishReason
	}
	if isSet(c.StopReason) {
		choice.StopReason = c.StopReason
	}
	if c.Delta == nil {
		return nil
	}
	if choice.Message == nil {
		choice.Message = newMessage()
	}
	return choice.Message.add(c.Delta)
}

// body returns the complete answer.
func (b *builder) body() ([]byte, error) {
	if b.answer == nil {
		return nil, errors.New("answer without a chunk")
	}
	b.answer.Object = "text_completion"
	if b.chat {
		b.answer.Object = "chat.completion"
	}
	for _, c := range b.choices {
		if b.chat && c.Message == nil {
			c.Message = newMessage()
		}
		if !b.chat {
			text := c.text.String()
			c.Text = &text
		}
	}
	b.answer.Choices = b.choices
	data, err := json.Marshal(b.answer)
	return data, errors.Trace(err)
}
