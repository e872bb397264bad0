package relayer

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/splitter"
)

const (
	// streamBuffer is the size of one read of a stream, in bytes. Events are far smaller.
	streamBuffer = 4 << 10
	// maxEventBytes bounds an event of a stream whose events are buffered until they are
	// complete: a faulty engine may send bytes without end.
	maxEventBytes = 256 << 10
)

// errEventTooLong means that an event exceeds maxEventBytes.
const errEventTooLong = errors.ConstError("an event is too long")

// stream forwards a stream as it arrives. Of a stream that may be resumed only complete
// events are forwarded, so that another backend server can continue after the last one.
func (j *job) stream(conn *exchanger.Conn, response *http.Response, head Head, current *attempt) verdict {
	current.markStarted()
	if !j.recordWeights(head) {
		conn.Abort()
		return j.unanswered(errors.Annotate(exchanger.ErrSent, "resumed with other weights"))
	}
	var events splitter.Events
	var pending pendingEvent
	defer pending.release()
	body := exchanger.BodyOf(response)
	splits := j.route.Resumable || j.backup.Name != ""
	if splits || response.Header.Get("Content-Type") == "" {
		body.ExpectEvents()
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		j.recordProgress()
		piece := buffer[:n]
		if splits && n > 0 {
			piece = events.Push(piece)
			j.lastEvent = cmp.Or(events.ID(), j.lastEvent)
			if events.Unfinished() > maxEventBytes {
				err = errors.Trace(errEventTooLong)
			} else if full := pending.set(j.relayer.buffers, int64(events.Unfinished())); full != nil {
				err = full
			}
		}
		if len(piece) > 0 {
			if err := j.forwardPiece(response, piece); err != nil {
				return j.unsent(conn, err)
			}
		}
		if errors.Is(err, io.EOF) {
			if err = j.checkCrash(response); err == nil {
				return j.finishStream(conn, response, head)
			}
		}
		if err != nil {
			conn.Abort()
			return j.unanswered(errors.WithType(err, exchanger.ErrSent))
		}
	}
}

// forwardPiece forwards a piece of a stream, after the header if it is the first one.
func (j *job) forwardPiece(response *http.Response, piece []byte) error {
	s := &j.relayer.settings
	if !j.answer.begun() {
		j.software = j.choice.Software
		j.recordOrigin()
		j.answer.begin(response.StatusCode, s.Translator.AnswerHeader(response.Header))
		j.firstEventAt = s.Now()
		j.relayer.metrics.firstEvent.Observe(j.firstEventAt.Sub(j.arrived).Seconds())
	}
	j.recordEvent(s.Now())
	s.Placer.RecordFirstByte(s.Now(), &j.choice)
	return j.answer.write(piece)
}

// recordEvent records that a part of the stream is forwarded.
func (j *job) recordEvent(now time.Time) {
	if !j.lastEventAt.IsZero() {
		j.longestGap = max(j.longestGap, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
}

// finishStream handles the end of a complete stream.
func (j *job) finishStream(conn *exchanger.Conn, response *http.Response, head Head) verdict {
	conn.Finish(response, head.KeepAlive)
	j.recordAnswered()
	j.relayer.metrics.longestGap.Observe(j.longestGap.Seconds())
	j.answer.begin(response.StatusCode, j.relayer.settings.Translator.AnswerHeader(response.Header))
	j.answer.finish()
	j.log(outcomeAnswered, response.StatusCode, "")
	return verdictAnswered
}
