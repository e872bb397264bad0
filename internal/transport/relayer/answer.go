package relayer

import (
	"maps"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// answer is the answer to the caller. It is complete only after sendWhole or finish; end
// aborts any other answer, which the caller sees as a broken connection.
type answer struct {
	writer  http.ResponseWriter
	request *http.Request
	// status is the status that was sent; 0 means none.
	status int
	// bytes is the number of bytes of the body that were sent.
	bytes int64
	// timeLeft returns the time until the call's deadline, after which the caller may not read
	// the answer any more; nil means that there is no limit.
	timeLeft func() time.Duration
	// finished means that the answer is complete.
	finished bool
}

// errBegun means that part of another answer has already been sent.
const errBegun = errors.ConstError("part of another answer has already been sent")

// begun reports whether the header was sent.
func (a *answer) begun() bool { return a.status != 0 }

// begin sends the header of an answer whose body follows in parts. It does nothing if a
// header was sent before, so that another backend server may continue the body.
func (a *answer) begin(status int, header http.Header) {
	if a.begun() {
		return
	}
	a.status = status
	if a.timeLeft != nil {
		// A caller without a connection, as in a test, has no deadline.
		_ = http.NewResponseController(a.writer).SetWriteDeadline(time.Now().Add(max(0, a.timeLeft()) + writeGrace))
	}
	maps.Copy(a.writer.Header(), header)
	a.writer.WriteHeader(status)
}

// write sends a part of the body, and returns an error if the caller has left.
func (a *answer) write(part []byte) error {
	n, err := a.writer.Write(part)
	a.bytes += int64(n)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(http.NewResponseController(a.writer).Flush())
}

// finish marks an answer that was sent in parts as complete.
func (a *answer) finish() { a.finished = true }

// sendWhole sends a complete answer. It returns errBegun if part of another answer was sent;
// any other error means that the caller has left.
func (a *answer) sendWhole(status int, header http.Header, body []byte) error {
	if a.begun() {
		return errBegun
	}
	a.begin(status, header)
	if err := a.write(body); err != nil {
		return err
	}
	a.finish()
	return nil
}

// end aborts the answer, and does not return, unless the answer is complete.
func (a *answer) end() {
	if !a.finished {
		listener.AbortAnswer(a.writer, a.request)
	}
}
