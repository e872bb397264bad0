package orderer

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// CompletionRequest contains the fields of a generation request that are used by routing
// and by the stand-in engine. All other fields are forwarded unchanged. The format is
// that of OpenAI, with the priority field of vLLM.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt,omitempty"`
	Messages      []Message      `json:"messages,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// Priority orders waiting requests, lowest value first.
	Priority int `json:"priority,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens for chats.
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
}

// StreamOptions requests additional content in a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of parts, of which
// only the text is decoded.
type Content string

type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, a list of parts, or null.
func (c *Content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		var parts []contentPart
		if err := json.Unmarshal(data, &parts); err != nil {
			return errors.Trace(err)
		}
		var text strings.Builder
		for _, p := range parts {
			text.WriteString(p.Text)
		}
		*c = Content(text.String())
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Trace(err)
	}
	*c = Content(text)
	return nil
}

// ChatPrompt returns the prompt that an engine processes for messages.
func ChatPrompt(messages []Message) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteString("\n")
	}
	text.WriteString("assistant:")
	return text.String()
}

// FullPrompt returns the prompt that the engine processes for the request.
func (r *CompletionRequest) FullPrompt() string {
	if len(r.Messages) > 0 {
		return ChatPrompt(r.Messages)
	}
	return r.Prompt
}

// Chunk is a complete answer or one chunk of a streamed answer of either endpoint, in the
// format of OpenAI.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a Chunk. Text is set for completions, Delta for streamed
// chats and Message for chats that are not streamed.
type Choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the new part of a chat message, or a complete message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage contains token counts.
type Usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	PromptDetails    *PromptTokenDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokenDetails contains the number of prompt tokens found in the prefix cache.
type PromptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ErrorBody is an error in the format of OpenAI, as a body or as an event of a stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody. As with vLLM, Code is the HTTP status.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    int     `json:"code"`
}

// Error types of the engine protocol. The first four are defined by vLLM.
const (
	TypeBadRequest  = "BadRequestError"
	TypeNotFound    = "NotFoundError"
	TypeInvalid     = "InvalidUserInput"
	TypeInternal    = "InternalServerError"
	TypeFenced      = "FencedError"
	TypeNoSlot      = "NoSlotError"
	TypeLoadFailed  = "LoadFailedError"
	TypeOverloaded  = "OverloadedError"
	TypeCancelled   = "CancelledError"
	TypeUnloaded    = "AdapterUnloadedError"
	TypeMoved       = "MovedError"
	TypeDuplicateID = "DuplicateRequestError"
)
