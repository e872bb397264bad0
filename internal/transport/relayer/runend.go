package relayer

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const (
	// endRunTimeout limits the time to end an interrupted run, which its caller sees as a pause
	// of the stream. Stopping a run includes the copy of its KV cache to another engine.
	endRunTimeout = time.Second
	// endRunPause is the wait before an engine is asked again that could not answer: the
	// connections of a process that ends are closed a moment before its listener.
	endRunPause = 20 * time.Millisecond
)

//go:generate stringer -type=RunEnd -trimprefix=RunEnd

// RunEnd is the evidence that an interrupted run has ended. The names of the values are written
// to metrics and logs.
type RunEnd int

const (
	// RunEndUnknown means that there is none: the run may still be in progress.
	RunEndUnknown RunEnd = iota
	// RunEndReplaced means that another incarnation has taken the engine's place.
	RunEndReplaced
	// RunEndRefused means that no process listens at the engine's address.
	RunEndRefused
	// RunEndAbsent means that the engine has no such run.
	RunEndAbsent
	// RunEndStopped means that the engine has stopped the run.
	RunEndStopped
)

// StopRun asks an engine to stop a run and to copy its KV cache to another engine.
type StopRun struct {
	// Address and Incarnation identify the engine, and Request the run.
	Address     string
	Incarnation string
	Request     string
	// Target is the address of the engine that receives the copy.
	Target string
}

// StopReply is an engine's answer to StopRun.
type StopReply struct {
	End RunEnd
	// Handle names the KV cache of the run that the engine has stopped and keeps; empty means that it
	// keeps none. Copied means that the target has a copy of the same name.
	Handle string
	Copied bool
	// Busy means that the engine can't stop the run yet.
	Busy bool
}

// endRun makes sure that the run of the current attempt, whose connection has ended, has ended
// too, and returns the evidence, and what became of its KV cache.
//
// The end of a connection is no such evidence: it may have been reset on its way, and an engine
// does not always drop the run of a connection that has ended.
func (j *job) endRun() StopReply {
	ctx, cancel := context.WithTimeout(j.ctx, endRunTimeout)
	defer cancel()
	began := j.relayer.settings.Now()
	for {
		reply, err := j.stopRun(ctx)
		if reply.End != RunEndUnknown || err == nil && !reply.Busy || !pauser.Pause(ctx, endRunPause) {
			j.relayer.metrics.runEnds.WithLabelValues(j.service.Name, reply.End.String()).Inc()
			j.relayer.settings.Log.Info().Err(err).Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
				Str("Backup", j.backup.Name).Stringer("End", reply.End).Dur("Took", j.relayer.settings.Now().Sub(began)).Msg("run interrupted")
			return reply
		}
	}
}

// stopRun asks the engine once to stop the run.
func (j *job) stopRun(ctx context.Context) (StopReply, error) {
	if !j.service.Engine.Moves {
		end, err := j.processEnd(ctx)
		return StopReply{End: end}, err
	}
	if j.replaced() {
		return StopReply{End: RunEndReplaced}, nil
	}
	t := j.relayer.settings.Translator
	request := t.StopRequest(StopRun{Address: j.choice.Address, Incarnation: j.choice.Incarnation, Request: j.call.ID, Target: j.backup.Address})
	answer, err := j.relayer.settings.Pool.Query(ctx, j.choice.Address, request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return StopReply{End: RunEndRefused}, nil
	case err != nil:
		return StopReply{}, err
	}
	return t.StopReply(answer), nil
}

// replaced reports whether another incarnation of the chosen backend server is known.
func (j *job) replaced() bool {
	m, ok := j.relayer.settings.View().Member(j.choice.Name)
	return ok && m.Spec.Incarnation != j.choice.Incarnation
}

// processEnd returns the evidence that the process of the chosen backend server has ended:
// RunEndReplaced, RunEndRefused or, if there is none, RunEndUnknown.
func (j *job) processEnd(ctx context.Context) (RunEnd, error) {
	if j.replaced() {
		return RunEndReplaced, nil
	}
	listens, err := j.relayer.settings.Pool.IsListening(ctx, j.choice.Address)
	if err == nil && !listens {
		return RunEndRefused, nil
	}
	return RunEndUnknown, errors.Trace(err)
}
