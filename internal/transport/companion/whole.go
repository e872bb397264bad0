package companion

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// prepare reads from the request's body how the answer is to look.
func (r *run) prepare() {
	var body orderer.CompletionRequest
	if err := json.Unmarshal(r.work.dispatch.Body, &body); err == nil && body.StreamOptions != nil {
		r.wantsUsage = body.StreamOptions.IncludeUsage
	}
	if !r.work.dispatch.Stream {
		r.whole = &whole{chat: r.work.dispatch.Kind == messenger.CallKindChat}
	}
}

// whole puts the chunks of a streamed answer together into the one answer of a
// request that did not ask for a stream. The engine is always asked for a
// stream, since only a stream can be resumed.
type whole struct {
	chat bool
	// answer names the answer, from the first chunk; nil before it.
	answer  *wholeAnswer
	choices []*wholeChoice
}

// wholeAnswer is the answer in OpenAI's shape.
type wholeAnswer struct {
	ID          string          `json:"id"`
	Object      string          `json:"object"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices     []*wholeChoice  `json:"choices"`
	Usage       json.RawMessage `json:"usage,omitempty"`
}

// wholeChunk is one chunk of the stream.
type wholeChunk struct {
	wholeAnswer
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

type wholeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *message        `json:"message,omitempty"`
	Logprobs     logprobs        `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
	StopReason   json.RawMessage `json:"stop_reason,omitempty"`

	text strings.Builder
}

// logprobs are the lists of OpenAI's log probabilities, by name: those of a
// stream's chunks follow each other.
type logprobs map[string][]json.RawMessage

// add takes in one chunk.
func (w *whole) add(data []byte) error {
	var chunk wholeChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Annotate(err, "chunk")
	}
	if w.answer == nil {
		w.answer = &wholeAnswer{ID: chunk.ID, Created: chunk.Created, Model: chunk.Model, Fingerprint: chunk.Fingerprint}
	}
	if given(chunk.Usage) {
		w.answer.Usage = chunk.Usage
	}
	for i := range chunk.Choices {
		c := &chunk.Choices[i]
		if c.Index < 0 || c.Index >= maxChoices {
			return errors.NotValidf("choice %d", c.Index)
		}
		for len(w.choices) <= c.Index {
			w.choices = append(w.choices, &wholeChoice{Index: len(w.choices), FinishReason: jsonNull})
		}
		if err := w.choices[c.Index].add(c); err != nil {
			return errors.Annotatef(err, "choice %d", c.Index)
		}
	}
	return nil
}

// maxChoices bounds the number of choices in an answer, as OpenAI does.
const maxChoices = 128

var jsonNull = json.RawMessage("null")

// given tells whether a member was there and is not null.
func given(v json.RawMessage) bool { return len(v) > 0 && string(v) != "null" }

func (w *wholeChoice) add(c *chunkChoice) error {
	if c.Text != nil {
		w.text.WriteString(*c.Text)
	}
	for name, list := range c.Logprobs {
		if w.Logprobs == nil {
			w.Logprobs = logprobs{}
		}
		w.Logprobs[name] = append(w.Logprobs[name], list...)
	}
	if given(c.FinishReason) {
		w.FinishReason = c.FinishReason
	}
	if given(c.StopReason) {
		w.StopReason = c.StopReason
	}
	if c.Delta == nil {
		return nil
	}
	if w.Message == nil {
		w.Message = newMessage()
	}
	return w.Message.add(c.Delta)
}

// body returns the whole answer.
func (w *whole) body() ([]byte, error) {
	if w.answer == nil {
		return nil, errors.New("answer without a chunk")
	}
	w.answer.Object = "text_completion"
	if w.chat {
		w.answer.Object = "chat.completion"
	}
	for _, c := range w.choices {
		if w.chat && c.Message == nil {
			c.Message = newMessage()
		}
		if !w.chat {
			text := c.text.String()
			c.Text = &text
		}
	}
	w.answer.Choices = w.choices
	data, err := json.Marshal(w.answer)
	return data, errors.Trace(err)
}
