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

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 16 << 20

// bodyReader reads the body of an answer into an Answer. It is not safe for
// concurrent use.
type bodyReader struct {
	answer *Answer
	// now tells the time since the start of the run.
	now func() time.Duration
	// last is when the last piece of text came.
	last time.Duration
	text bytes.Buffer
}

// readStream reads server-sent events up to the end of the body. What came stays
// in the answer, also where an error is returned.
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

// readWhole reads the body of a whole answer or an error.
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
	// A body of another shape leaves the fields empty, which Judge finds.
	_ = json.Unmarshal(data, &r.answer.Service)
	var c chunk
	if json.Unmarshal(data, &c) == nil && c.Error != nil {
		r.answer.Code = c.Error.Code.text
	}
	return nil
}

// chunk is a part of an answer or an error in OpenAI's shape.
type chunk struct {
	orderer.Chunk
	Error *errorDetail `json:"error"`
}

// errorDetail is what a caller needs of an error.
type errorDetail struct {
	Outcome string `json:"outcome"`
	Code    code   `json:"code"`
}

// code is the cause of an error: a name at an entry, a number at an engine.
type code struct{ text string }

// UnmarshalJSON takes any value as text.
func (c *code) UnmarshalJSON(data []byte) error {
	c.text = string(bytes.Trim(data, `"`))
	return nil
}

func (r *bodyReader) readChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Annotate(err, "answer")
	}
	if c.Error != nil {
		r.answer.ErrorEvent = true
		r.answer.Code = c.Error.Code.text
		if c.Error.Outcome != "" {
			r.answer.Outcome = c.Error.Outcome
		}
		return nil
	}
	r.identify(&r.answer.Model, c.Model)
	r.identify(&r.answer.ID, c.ID)
	for _, choice := range c.Choices {
		r.take(choiceText(&choice))
	}
	return nil
}

// identify notes a name that must be the same in all parts of a body.
func (r *bodyReader) identify(field *string, name string) {
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

// take appends a piece of text and notes when it came.
func (r *bodyReader) take(piece string) {
	if piece == "" {
		return
	}
	r.text.WriteString(piece)
	now := r.now()
	if r.answer.FirstToken == 0 {
		r.answer.FirstToken = now
	} else {
		r.answer.Gaps = append(r.answer.Gaps, now-r.last)
	}
	r.last = now
}
