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
	// first is the first chunk, which names the answer.
	first   *orderer.Chunk
	choices []wholeChoice
}

type wholeChoice struct {
	text   strings.Builder
	role   string
	finish *string
}

// add takes in one chunk.
func (w *whole) add(data []byte) error {
	var chunk orderer.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Annotate(err, "chunk")
	}
	if w.first == nil {
		w.first = &chunk
	}
	for _, c := range chunk.Choices {
		if c.Index < 0 || c.Index >= maxChoices {
			return errors.NotValidf("choice %d", c.Index)
		}
		for len(w.choices) <= c.Index {
			w.choices = append(w.choices, wholeChoice{})
		}
		w.choices[c.Index].add(c)
	}
	return nil
}

// maxChoices bounds the number of choices in an answer, as OpenAI does.
const maxChoices = 128

func (w *wholeChoice) add(c orderer.Choice) {
	if c.Text != nil {
		w.text.WriteString(*c.Text)
	}
	if c.Delta != nil {
		w.text.WriteString(c.Delta.Content)
		if c.Delta.Role != "" {
			w.role = c.Delta.Role
		}
	}
	if c.FinishReason != nil {
		w.finish = c.FinishReason
	}
}

// body returns the whole answer.
func (w *whole) body(usage *orderer.Usage) ([]byte, error) {
	if w.first == nil {
		return nil, errors.New("answer without a chunk")
	}
	answer := orderer.Chunk{
		ID: w.first.ID, Object: "text_completion", Created: w.first.Created, Model: w.first.Model, Usage: usage,
	}
	if w.chat {
		answer.Object = "chat.completion"
	}
	for i := range w.choices {
		c := &w.choices[i]
		text := c.text.String()
		choice := orderer.Choice{Index: i, FinishReason: c.finish}
		if w.chat {
			choice.Message = &orderer.Delta{Role: c.role, Content: text}
		} else {
			choice.Text = &text
		}
		answer.Choices = append(answer.Choices, choice)
	}
	data, err := json.Marshal(answer)
	return data, errors.Trace(err)
}
