package explainer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Line is one log line of a process. Fields that a line lacks are zero.
type Line struct {
	// At is when it was written, in seconds since the first line where the platform
	// tells so, and since 1970 otherwise.
	At float64 `json:"-"`
	// Text is the JSON object as it was read.
	Text []byte `json:"-"`

	Node    string
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Error   string    `json:"error"`

	Request string
	Outcome string
	Status  int
	Reason  string
	Route   string
	Service string
	Adapter string
	Backend string
	Version json.RawMessage
	Sent    int
	// Incarnation, Fate and Same are those of a backend server with which sendings broke:
	// its life, what became of it, and the identities of the requests.
	Incarnation string
	Fate        string
	Same        json.RawMessage
	Tried       []string
	Away        bool
	Bytes       int64
	Took        millis
	Waited      millis
	First       millis
	Target      millis
	Expected    json.RawMessage
}

// errNoMessage tells that an object is no log line.
const errNoMessage = errors.ConstError("an object without a message")

// millis is a time in milliseconds.
type millis float64

// parseLine reads a line. Ok is false where it holds no JSON object at all.
func parseLine(text []byte) (line Line, ok bool, err error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line, false, nil
	}
	head := bytes.Fields(text[:begin])
	line.Text = bytes.TrimSpace(text[begin:])
	if err := json.Unmarshal(line.Text, &line); err != nil {
		return line, true, err
	}
	if line.Message == "" {
		return line, true, errNoMessage
	}
	line.At = float64(line.Time.UnixMilli()) / 1000
	if len(head) > 0 {
		if at, err := strconv.ParseFloat(string(head[0]), 64); err == nil {
			line.At = at
		}
	}
	if line.Node == "" && len(head) > 1 {
		line.Node = string(head[1])
	}
	return line, true, nil
}

// version returns the name of the version that the line is about, or nothing: other
// lines have numbers of that name.
func (l *Line) version() string {
	var name string
	if err := json.Unmarshal(l.Version, &name); err != nil {
		return ""
	}
	return name
}

// sames returns the identities that a line on a backend server names. In a call's line Same
// is the one of its request.
func (l *Line) sames() []string {
	var list []string
	if err := json.Unmarshal(l.Same, &list); err != nil {
		return nil
	}
	return list
}
