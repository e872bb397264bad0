package explainer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Line is one log line of a process. Fields that the line does not contain are zero.
type Line struct {
	// At is the time of the line, in seconds: since the first line if the platform
	// prefixed the line with this time, and since 1970 otherwise.
	At float64 `json:"-"`
	// Text is the JSON object of the line.
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
	// Incarnation, Fate and Same describe a backend server at which attempts broke: its
	// incarnation, its state, and the identities of the requests.
	Incarnation string
	Fate        string
	Same        json.RawMessage
	// Attempts are the attempts that broke at a backend server.
	Attempts []BrokenAttempt
	// Parts are the ids of the parts of a call's prompt.
	Parts  []string
	Tried  []string
	Away   bool
	Bytes  int64
	Took   millis
	Waited millis
	First  millis
	Target millis
	// Gap is the longest time between two events of a stream, and MaxGap its target.
	Gap      millis
	MaxGap   millis
	Expected json.RawMessage
}

// BrokenAttempt is an attempt that broke.
type BrokenAttempt struct {
	// Stage is how much of the answer had arrived; it is the name of a storer.RunStage.
	Stage string
	// Parts are the ids of the parts of the prompt.
	Parts []string
}

// errMissingMessage means that a JSON object is not a log line.
const errMissingMessage = errors.ConstError("an object without a message")

// millis is a duration in milliseconds.
type millis float64

// parseLine parses a line. ok is false if the line contains no JSON object.
func parseLine(text []byte) (line Line, ok bool, err error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false, nil
	}
	prefix := bytes.Fields(text[:start])
	line.Text = bytes.TrimSpace(text[start:])
	if err := json.Unmarshal(line.Text, &line); err != nil {
		return line, true, err
	}
	if line.Message == "" {
		return line, true, errMissingMessage
	}
	line.At = float64(line.Time.UnixMilli()) / 1000
	if len(prefix) > 0 {
		if at, err := strconv.ParseFloat(string(prefix[0]), 64); err == nil {
			line.At = at
		}
	}
	if line.Node == "" && len(prefix) > 1 {
		line.Node = string(prefix[1])
	}
	return line, true, nil
}

// version returns the name of the adapter version, or an empty string: in some lines Version
// is a number.
func (l *Line) version() string {
	var name string
	if err := json.Unmarshal(l.Version, &name); err != nil {
		return ""
	}
	return name
}

// requestIdentities returns the identities in the line of a backend server at which attempts
// broke. In the line of a call, Same is the identity of its request only, and the result is
// nil.
func (l *Line) requestIdentities() []string {
	var list []string
	if err := json.Unmarshal(l.Same, &list); err != nil {
		return nil
	}
	return list
}
