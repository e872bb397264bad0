package translator

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/zeebo/xxh3"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Limits and estimates of a completion.
const (
	// MaxAnswerTokens is the largest accepted value of max_tokens.
	MaxAnswerTokens = 1 << 20
	// MaxMessages is the largest accepted number of messages.
	MaxMessages = 4096
	// DefaultAnswerTokens is the estimated number of tokens of an answer if the request
	// has no max_tokens.
	DefaultAnswerTokens = 256
	// bytesPerToken is the mean length of a token in ordinary text.
	bytesPerToken = 4
	// prefixBytes is the length of the beginning of a prompt that the prefix hash
	// covers. Prompts with the same system message usually have it in common.
	prefixBytes = 1024
	// highestPriority is the priority that runs first. Engines run the lowest number
	// first.
	highestPriority = 9
)

// Paths of the engine protocol by kind.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Names of the fields that the entry sets.
const (
	fieldModel    = "model"
	fieldPriority = "priority"
)

// fields is a JSON object whose values are not decoded, so that unknown fields reach the
// engine exactly as the caller wrote them. If a name occurs twice, the last value counts
// for this package and, since the object is encoded again, for the engine too.
type fields map[string]json.RawMessage

// Completion is a parsed chat or completion request.
type Completion struct {
	Kind   messenger.CallKind
	Model  Name
	Stream bool
	// MaxTokens is the maximum number of tokens of the answer; 0 means unspecified.
	MaxTokens int64
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int64
	// Prefix is a hash of the beginning of the prompt.
	Prefix uint64

	fields fields
}

// Tokens returns the estimated number of tokens of prompt and answer together.
func (c *Completion) Tokens() int64 {
	if c.MaxTokens > 0 {
		return c.PromptTokens + c.MaxTokens
	}
	return c.PromptTokens + DefaultAnswerTokens
}

// Path returns the path of the request at the engine.
func (c *Completion) Path() string {
	if c.Kind == messenger.CallKindChat {
		return PathChat
	}
	return PathCompletion
}

// ParseCompletion parses the body of a chat or completion request. Use Malformed to
// convert its error to a Fault.
func ParseCompletion(kind messenger.CallKind, body []byte) (*Completion, error) {
	c := &Completion{Kind: kind}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, errors.NewNotValid(err, "the body is no JSON object")
	}
	if c.fields == nil {
		return nil, errors.NotValidf("body, which is null,")
	}
	var model string
	if err := c.fields.decode(fieldModel, &model); err != nil {
		return nil, err
	}
	name, err := ParseModelName(model)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.Model = name
	if err := c.fields.decode("stream", &c.Stream); err != nil {
		return nil, err
	}
	if c.MaxTokens, err = c.fields.maxTokens(); err != nil {
		return nil, err
	}
	prompt, err := c.prompt()
	if err != nil {
		return nil, err
	}
	c.PromptTokens = int64(len(prompt)/bytesPerToken + 1)
	c.Prefix = xxh3.Hash(prompt[:min(len(prompt), prefixBytes)])
	return c, nil
}

// decode decodes a field into v. It leaves v unchanged if the field is missing or null.
func (f fields) decode(name string, v any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return errors.NewNotValid(err, name)
	}
	return nil
}

// maxTokens returns the larger of max_tokens and max_completion_tokens, or 0 if neither is
// set.
func (f fields) maxTokens() (int64, error) {
	largest := int64(0)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *float64
		if err := f.decode(name, &n); err != nil {
			return 0, err
		}
		if n == nil {
			continue
		}
		if *n < 1 || *n > MaxAnswerTokens || *n != math.Trunc(*n) {
			return 0, errors.NotValidf("%s %v, which is no whole number from 1 to %d,", name, *n, MaxAnswerTokens)
		}
		largest = max(largest, int64(*n))
	}
	return largest, nil
}

// prompt returns the JSON encoding of the prompt, on which the estimates are based.
func (c *Completion) prompt() ([]byte, error) {
	if c.Kind == messenger.CallKindChat {
		return c.fields.checkedMessages()
	}
	raw := bytes.TrimSpace(c.fields["prompt"])
	if len(raw) == 0 || raw[0] != '"' && raw[0] != '[' {
		return nil, errors.NotValidf("prompt, which is neither text nor a list,")
	}
	return raw, nil
}

// message contains the fields of a chat message that are checked.
type message struct {
	Role string `json:"role"`
}

// checkedMessages returns the JSON encoding of the messages after checking them.
func (f fields) checkedMessages() ([]byte, error) {
	var list []message
	if err := f.decode("messages", &list); err != nil {
		return nil, err
	}
	if len(list) == 0 || len(list) > MaxMessages {
		return nil, errors.NotValidf("messages with %d entries; 1 to %d are allowed; they", len(list), MaxMessages)
	}
	for i := range list {
		if list[i].Role == "" {
			return nil, errors.NotValidf("messages[%d] without role", i)
		}
	}
	return f["messages"], nil
}

// EngineBody returns the request body for the engine: the body of the caller with the full
// version name as model, and with the priority converted to the order of the engine.
func (c *Completion) EngineBody(version string, priority int) ([]byte, error) {
	model, err := json.Marshal(version)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out := make(fields, len(c.fields)+2)
	for name, raw := range c.fields {
		// An engine that ignores the case of names must not find a second model under
		// another spelling.
		if !strings.EqualFold(name, fieldModel) && !strings.EqualFold(name, fieldPriority) {
			out[name] = raw
		}
	}
	out[fieldModel] = model
	out[fieldPriority] = strconv.AppendInt(nil, int64(highestPriority-priority), 10)
	body, err := json.Marshal(out)
	return body, errors.Trace(err)
}
