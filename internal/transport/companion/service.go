package companion

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// forward runs the job at the plain service and ends it.
func (c *Companion) forward(ctx context.Context, j *job) {
	r := &run{companion: c, job: j}
	call := orderer.ServiceCall{
		Request: j.dispatch.Request, Method: j.dispatch.Method, Target: j.dispatch.Path,
		Header: http.Header{}, Body: j.dispatch.Body, Idempotent: j.dispatch.Idempotent,
		OnLimit: c.limitRecorder(j),
	}
	for _, f := range j.dispatch.Header {
		call.Header.Add(f.Name, f.Value)
	}
	end := messenger.End{Outcome: messenger.OutcomeCompleted}
	if err := c.copyAnswer(ctx, r, call); err != nil {
		end = messenger.End{Outcome: messenger.OutcomeUnknown, Reason: reasonOf(context.Cause(ctx)), Detail: err.Error()}
		if errors.Is(err, orderer.ErrNotRun) {
			end.Outcome = messenger.OutcomeNotRun
		} else if ctx.Err() == nil {
			r.recordFailure(err)
		}
	}
	c.finish(j, end, j.dispatch.Tokens)
}

func (c *Companion) copyAnswer(ctx context.Context, r *run, call orderer.ServiceCall) error {
	answer, err := c.settings.Service.Forward(ctx, call)
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Body.Close()
	head := &messenger.Head{Status: answer.Status, ContentType: answer.Header.Get("Content-Type")}
	for name, values := range answer.Header {
		for _, v := range values {
			head.Header = append(head.Header, messenger.HeaderField{Name: name, Value: v})
		}
	}
	data := make([]byte, streamer.MaxPieceBytes)
	for {
		n, err := answer.Body.Read(data)
		if n > 0 || err == io.EOF {
			if err := r.write(ctx, head, data[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Trace(err)
		}
	}
}
