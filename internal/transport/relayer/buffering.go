package relayer

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

const (
	// writeGrace is the time after a call's deadline in which its answer may still be written,
	// so that a refusal at the deadline arrives.
	writeGrace = 500 * time.Millisecond
	// forwardBuffer is the size of one read of an answer that is forwarded as it arrives, in bytes.
	forwardBuffer = 16 << 10
	// maxUnboundedBytes is the length up to which an answer, or an event, is buffered whatever other calls
	// buffer.
	maxUnboundedBytes = 8 << 10
	// maxFailureAnswer replaces a failure that exceeds the limits of buffered bytes.
	maxFailureAnswer = "the backend server failed, and its answer was too long to be kept\n"
)

// Parts of a call in which a caller was too slow, as written to metrics.
const (
	slowRequest = "request"
	slowAnswer  = "answer"
)

// buffers counts what the calls in progress buffer, and the callers that are too slow.
type buffers struct {
	*allotter.Allotter
	// full counts the requests that were refused, and the answers that were forwarded before
	// they were complete, for want of room.
	full *prometheus.CounterVec
	slow *prometheus.CounterVec
}

func newBuffers(r prometheus.Registerer, a *allotter.Allotter) *buffers {
	if a == nil {
		a = allotter.NewAllotter(allotter.Settings{})
	}
	b := &buffers{
		Allotter: a,
		full: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_buffer_full_total", Help: "Requests that were refused, and answers that were forwarded before they were complete, since the limit of buffered bytes was reached.",
		}, []string{"kind"}),
		slow: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_slow_callers_total", Help: "Calls ended at their deadline since their caller had not sent its request or not read its answer.",
		}, []string{"part"}),
	}
	if r == nil {
		return b
	}
	r.MustRegister(b.full, b.slow)
	for _, k := range []allotter.Kind{allotter.KindRequest, allotter.KindAnswer, allotter.KindConnection} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "marigoldpoint_relayer_buffered_bytes", Help: "Bytes buffered for calls in progress.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(b.Held(k)) }))
	}
	return b
}

// boundBuffers decides whether answers to the call are limited. Its service must be known.
func (j *job) boundBuffers() {
	s := &j.relayer.settings
	j.bounded = s.Buffers.Bounds(s.Buffers == allotter.ModeAuto && s.Placer.SlowdownReported(j.service.Name))
	j.holding = j.relayer.buffers.NewHolding(j.bounded)
	j.answer.timeLeft = func() time.Duration { return j.deadline.Sub(s.Now()) }
}

// openAccount returns the account of the request's connection, and a function that ends it if it isn't the
// connection that does.
func (r *Relayer) openAccount(request *http.Request) (account *allotter.Account, end func()) {
	if connection := listener.AccountOf(request); connection != nil {
		return connection, func() {}
	}
	account = r.buffers.Count()
	return account, account.Close
}

// releaseBuffers ends the count of what the call has buffered.
func (j *job) releaseBuffers() {
	if j.holding != nil {
		j.holding.Release()
	}
}

// holdingReader counts what is read of an answer as held, and fails with allotter.ErrNoRoom once a limit
// is exceeded.
type holdingReader struct {
	io.Reader
	holding *allotter.Holding
}

// Read reads and counts. It returns the bytes that were read also with allotter.ErrNoRoom. The last bytes
// are taken in any case.
func (h holdingReader) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 && !h.holding.Add(allotter.KindAnswer, int64(n)) && err == nil {
		err = allotter.ErrNoRoom
	}
	return n, err
}

// readBody reads the caller's request. It answers requests that can't be read, and returns
// errAnswered for them.
func (j *job) readBody(limit int64) error {
	if j.request.ContentLength > limit {
		return j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	control := http.NewResponseController(j.answer.writer)
	// A caller without a connection, as in a test, has no deadline.
	timed := j.request.ContentLength != 0 && control.SetReadDeadline(time.Now().Add(j.deadline.Sub(j.relayer.settings.Now()))) == nil
	var err error
	j.body, err = j.account.ReadAll(http.MaxBytesReader(j.answer.writer, j.request.Body, limit), j.request.ContentLength, limit)
	if timed && err == nil {
		// The deadline would end the connection while the call runs.
		err = control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, allotter.ErrNoRoom):
		j.relayer.buffers.full.WithLabelValues(allotter.KindRequest.String()).Inc()
		j.answer.writer.Header().Set("Connection", "close")
		return j.refuse(http.StatusServiceUnavailable, "the entry buffers too much to take the body", j.relayer.settings.RetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.relayer.buffers.slow.WithLabelValues(slowRequest).Inc()
		j.answer.writer.Header().Set("Connection", "close")
		return j.refuse(http.StatusRequestTimeout, "the body did not arrive before the deadline", 0)
	default:
		// The caller broke off, or sent a malformed body.
		return j.refuse(http.StatusBadRequest, err.Error(), 0)
	}
}

// readAnswer reads an answer as far as it may be buffered. It returns allotter.ErrNoRoom, and what was
// read, if more may follow. An answer that is not short, or does not state its length, is limited in any case,
// since many may be faulty at a time.
func (j *job) readAnswer(response *http.Response) ([]byte, error) {
	holding := j.holding
	if n := response.ContentLength; !j.bounded && (n < 0 || n > maxUnboundedBytes) {
		holding = j.relayer.buffers.NewHolding(true)
		defer j.holding.Take(holding)
	}
	body, err := io.ReadAll(holdingReader{Reader: response.Body, holding: holding})
	if errors.Is(err, allotter.ErrNoRoom) {
		j.relayer.buffers.full.WithLabelValues(allotter.KindAnswer.String()).Inc()
	}
	return body, err
}

// pendingEvent counts the bytes of an event of a stream that are buffered until it is complete.
type pendingEvent struct {
	holding *allotter.Holding
	held    int64
}

// set changes the number of buffered bytes. It returns allotter.ErrNoRoom if they exceed a limit.
func (p *pendingEvent) set(b *buffers, bytes int64) error {
	if bytes <= maxUnboundedBytes {
		p.release()
		return nil
	}
	if p.holding == nil {
		p.holding = b.NewHolding(true)
	}
	more := bytes - p.held
	p.held = bytes
	if !p.holding.Add(allotter.KindAnswer, more) {
		b.full.WithLabelValues(allotter.KindAnswer.String()).Inc()
		return allotter.ErrNoRoom
	}
	return nil
}

// release ends the count.
func (p *pendingEvent) release() {
	if p.holding != nil {
		p.holding.Release()
		p.holding, p.held = nil, 0
	}
}

// forward sends an answer that may not be buffered, beginning with what was read of it. From then on
// the caller's reading limits how fast the backend server may send, and the call can't be retried.
func (j *job) forward(conn *exchanger.Conn, response *http.Response, head Head, read []byte) verdict {
	w := j.mayHaveRunAnswer(response, head, read)
	if response.ContentLength >= 0 {
		w.header.Set("Content-Length", response.Header.Get("Content-Length"))
	}
	j.current.markStarted()
	j.answer.begin(w.status, w.header)
	part, buffer := w.body, make([]byte, forwardBuffer)
	for {
		if err := j.answer.write(part); err != nil {
			return j.unsent(conn, err)
		}
		n, err := response.Body.Read(buffer)
		if part = buffer[:n]; errors.Is(err, io.EOF) {
			if err := j.answer.write(part); err != nil {
				return j.unsent(conn, err)
			}
			if err = j.checkCrash(response); err == nil {
				break
			}
		}
		if err != nil {
			conn.Abort()
			j.unanswered(errors.WithType(err, exchanger.ErrSent))
			j.log(outcomeBroken, j.answer.status, err.Error())
			return verdictAnswered
		}
	}
	conn.Finish(response, head.KeepAlive)
	j.recordAnswered()
	j.answer.finish()
	j.log(outcomeAnswered, w.status, "")
	return verdictAnswered
}

// unsent ends an attempt whose answer could not be written to the caller.
func (j *job) unsent(conn *exchanger.Conn, err error) verdict {
	conn.Abort()
	j.count(endGivenUp)
	j.release(placer.OutcomeCanceled)
	j.logUnsent(err)
	return verdictAnswered
}

// logUnsent logs a call whose answer could not be written: its caller has left, or did not read until
// the deadline.
func (j *job) logUnsent(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		j.logLeft()
		return
	}
	j.relayer.buffers.slow.WithLabelValues(slowAnswer).Inc()
	j.log(outcomeBroken, j.answer.status, "the caller did not read its answer before the deadline")
}
