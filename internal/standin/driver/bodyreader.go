package driver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// maxAnswerBytes limits the body of one answer.
const maxAnswerBytes = 16 << 20

// bodyReader reads the body of an answer into an Answer. It is not safe for
// concurrent use.
type bodyReader struct {
	answer *Answer
	// now returns the time since the start of the run.
	now func() time.Duration
	// lastText is the time at which the last piece of text was received.
	lastText time.Duration
	text     bytes.Buffer
}

// readStream reads server-sent events until the end of the body. If it returns an error,
// the answer contains the text received before it.
func (r *bodyReader) readStream(body io.Reader) error {
	defer func() { r.answer.Text = r.text.String() }()
	lines := bufio.NewReader(io.LimitReader(body, maxAnswerBytes))
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		if err := r.readEvent(bytes.TrimPrefix(data, []byte(" "))); err != nil {
			return err
		}
	}
}

func (r *bodyReader) readEvent(data []byte) error {
	if string(data) == orderer.DoneMark {
		r.answer.Done = true
		return nil
	}
	return r.readChunk(data)
}

// readWhole reads the body of an unstreamed answer or an error.
func (r *bodyReader) readWhole(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if err := r.readChunk(data); err != nil {
		return err
	}
	r.answer.Text = r.text.String()
	r.answer.Done = true
	return nil
}

// readService reads the body of a plain service's answer or an error.
func (r *bodyReader) readService(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Trace(err)
	}
	r.answer.Done = true
	// A body of another format leaves the fields empty, which Judge reports.
	_ = json.Unmarshal(data, &r.answer.Service)
	var c chunk
	if json.Unmarshal(data, &c) == nil && c.Error != nil {
		r.answer.Code = c.Error.Code.value
	}
	return nil
}

// chunk is a part of an answer, or an error, in OpenAI's format.
type chunk struct {
	orderer.Chunk
	Error *errorDetail `json:"error"`
}

// errorDetail holds the fields of an error that are checked.
type errorDetail struct {
	Outcome string `json:"outcome"`
	Code    code   `json:"code"`
}

// code is an error code: a string from an entry, a number from an engine.
type code struct{ value string }

// UnmarshalJSON accepts a string or any other JSON value.
func (c *code) UnmarshalJSON(data []byte) error {
	c.value = string(bytes.Trim(data, `"`))
	return nil
}

func (r *bodyReader) readChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Annotate(err, "decode answer")
	}
	if c.Error != nil {
		r.answer.ErrorEvent = true
		r.answer.Code = c.Error.Code.value
		if c.Error.Outcome != "" {
			r.answer.Outcome = c.Error.Outcome
		}
		return nil
	}
	r.checkSame(&r.answer.Model, c.Model)
	r.checkSame(&r.answer.ID, c.ID)
	for _, choice := range c.Choices {
		r.addText(choiceText(&choice))
	}
	return nil
}

// checkSame sets field to name, or sets Mixed if an earlier part of the body had another
// name.
func (r *bodyReader) checkSame(field *string, name string) {
	if *field != "" && *field != name {
		r.answer.Mixed = true
		return
	}
	*field = name
}

func choiceText(c *orderer.Choice) string {
	switch {
	case c.Text != nil:
		return *c.Text
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return ""
	}
}

// addText appends a piece of text and records the time of its arrival.
func (r *bodyReader) addText(piece string) {
	if piece == "" {
		return
	}
	r.text.WriteString(piece)
	now := r.now()
	if r.answer.FirstToken == 0 {
		r.answer.FirstToken = now
	} else {
		r.answer.Gaps = append(r.answer.Gaps, now-r.lastText)
	}
	r.lastText = now
}
