package companion

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// Members of a chat message that are joined by rules of their own.
const (
	memberRole      = "role"
	memberContent   = "content"
	memberToolCalls = "tool_calls"
)

// roleAssistant is the role of a message for which the engine sends none.
var roleAssistant = json.RawMessage(`"assistant"`)

// delta is the change of one chunk to a chat message, by member.
type delta map[string]json.RawMessage

// message assembles a chat message from its deltas. Strings are concatenated, tool calls
// are joined by their index, and of any other member the last value is kept: an engine may
// send members that this program does not know.
type message struct {
	texts  map[string]*strings.Builder
	others delta
	tools  []toolCall
}

// toolCall is a function call in a chat message.
type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

func newMessage() *message {
	return &message{texts: map[string]*strings.Builder{}, others: delta{memberRole: roleAssistant, memberContent: jsonNull}}
}

// add applies a delta.
func (m *message) add(d delta) error {
	for name, value := range d {
		if err := m.addMember(name, value); err != nil {
			return errors.Annotate(err, name)
		}
	}
	return nil
}

func (m *message) addMember(name string, value json.RawMessage) error {
	switch {
	case !isSet(value):
		if _, ok := m.others[name]; !ok {
			m.others[name] = jsonNull
		}
		return nil
	case name == memberToolCalls:
		return m.addTools(value)
	case value[0] != '"' || name == memberRole:
		m.others[name] = value
		return nil
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return errors.Trace(err)
	}
	if m.texts[name] == nil {
		m.texts[name] = &strings.Builder{}
	}
	m.texts[name].WriteString(text)
	return nil
}

// maxToolCalls limits the tool calls of a message.
const maxToolCalls = 1024

func (m *message) addTools(value json.RawMessage) error {
	var calls []toolCall
	if err := json.Unmarshal(value, &calls); err != nil {
		return errors.Trace(err)
	}
	for i := range calls {
		c := &calls[i]
		if c.Index < 0 || c.Index >= maxToolCalls {
			return errors.NotValidf("tool call %d", c.Index)
		}
		for len(m.tools) <= c.Index {
			m.tools = append(m.tools, toolCall{Index: len(m.tools)})
		}
		t := &m.tools[c.Index]
		if c.ID != "" {
			t.ID = c.ID
		}
		if c.Type != "" {
			t.Type = c.Type
		}
		t.Function.Name += c.Function.Name
		t.Function.Arguments += c.Function.Arguments
	}
	return nil
}

// MarshalJSON returns the message in OpenAI's format. Its content is null if the engine
// sent none, as with tool calls.
func (m *message) MarshalJSON() ([]byte, error) {
	members := make(delta, len(m.others)+len(m.texts)+1)
	for name, value := range m.others {
		members[name] = value
	}
	for name, text := range m.texts {
		value, err := json.Marshal(text.String())
		if err != nil {
			return nil, errors.Trace(err)
		}
		members[name] = value
	}
	if len(m.tools) > 0 {
		value, err := json.Marshal(m.tools)
		if err != nil {
			return nil, errors.Trace(err)
		}
		members[memberToolCalls] = value
	}
	return json.Marshal(members)
}
