package relayer

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// streamBuffer is the size of one read of a stream. An event is far smaller.
const streamBuffer = 4 << 10

// stream passes a stream on as it comes. Of one that may be resumed only whole
// events go on, so that another backend server can go on after the last one.
func (j *job) stream(conn *exchanger.Conn, response *http.Response, head Head, followed *attempt) verdict {
	r := j.relayer
	followed.begins()
	flusher := http.NewResponseController(j.writer)
	var events eventSplitter
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			piece := buffer[:n]
			if j.route.Resumable || j.backup.Name != "" {
				piece = events.take(piece)
				j.lastEvent = events.last(j.lastEvent)
			}
			if len(piece) > 0 {
				if !j.began {
					j.begin(response)
					j.writer.WriteHeader(response.StatusCode)
					j.firstAt = r.settings.Now()
					r.metrics.first.Observe(j.firstAt.Sub(j.arrived).Seconds())
				}
				r.settings.Placer.First(r.settings.Now(), &j.choice)
				j.bytes += int64(len(piece))
				if _, werr := j.writer.Write(piece); werr != nil || flusher.Flush() != nil {
					conn.Abort()
					j.count(endGivenUp)
					j.release(placer.EndingGivenUp)
					j.log("left", response.StatusCode, "the caller has left")
					return verdictAnswered
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return j.ended(conn, response, head, events.rest())
		}
		if err != nil {
			conn.Abort()
			return j.brokenOff(err)
		}
	}
}

// ended ends a stream that came to its end.
func (j *job) ended(conn *exchanger.Conn, response *http.Response, head Head, rest []byte) verdict {
	if len(rest) > 0 {
		// The stream ended inside an event: it is not whole, whatever its framing
		// says.
		conn.Abort()
		return j.brokenOff(io.ErrUnexpectedEOF)
	}
	conn.Finish(response, head.KeepAlive)
	j.count(endAnswered)
	j.survived()
	j.release(placer.EndingWell)
	if !j.began {
		j.begin(response)
		j.writer.WriteHeader(response.StatusCode)
	}
	j.log(outcomeAnswered, response.StatusCode, "")
	return verdictAnswered
}

// brokenOff judges a stream that broke. One whose first bytes have gone can't
// become another answer, unless it may be resumed.
func (j *job) brokenOff(err error) verdict {
	v := j.unanswered(errors.Annotatef(exchanger.ErrSent, "%v", err))
	if v == verdictUnknown && j.began && !j.route.Resumable && !j.resume() {
		j.log("broken", http.StatusOK, err.Error())
		panic(http.ErrAbortHandler)
	}
	return v
}

// eventSplitter cuts a stream into whole events. The zero value is ready for use.
type eventSplitter struct {
	pending []byte
	out     []byte
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// take returns the whole events so far. The slice holds until the next call.
func (s *eventSplitter) take(piece []byte) []byte {
	s.pending = append(s.pending, piece...)
	end := bytes.LastIndex(s.pending, eventEnd)
	s.out = s.out[:0]
	if end < 0 {
		return s.out
	}
	end += len(eventEnd)
	s.out = append(s.out, s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.out
}

// last returns the id of the last event that take returned, or the one before.
func (s *eventSplitter) last(before string) string {
	for line := range bytes.Lines(s.out) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			before = string(bytes.TrimSpace(id))
		}
	}
	return before
}

// rest returns what is left of an event that did not end.
func (s *eventSplitter) rest() []byte { return s.pending }
