package relayer

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
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
	// RunEndExited means that the engine's process has ended, as the companion on its host knows.
	RunEndExited
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

// stopRun asks the engine once to stop the run, or its companion whether the engine has ended.
//
// A connection that is refused does not prove that the engine has ended: the network may refuse it, and an
// engine that leaves closes its listener before its runs end. Nor does another incarnation that is known,
// since it may have been announced late.
func (j *job) stopRun(ctx context.Context) (StopReply, error) {
	if !j.service.Engine.Moves {
		return j.inspectEngine(ctx)
	}
	t := j.relayer.settings.Translator
	request := t.StopRequest(StopRun{Address: j.choice.Address, Incarnation: j.choice.Incarnation, Request: j.call.ID, Target: j.backup.Address})
	answer, err := j.relayer.settings.Pool.Query(ctx, j.choice.Address, request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return j.inspectEngine(ctx)
	case err != nil:
		return j.silentEngine(err)
	}
	return t.StopReply(answer), nil
}

// inspectEngine asks the companion of the chosen engine once whether the engine has ended.
func (j *job) inspectEngine(ctx context.Context) (StopReply, error) {
	r := j.relayer
	state, err := r.inspect(ctx, j.choice.Name, j.choice.Address, j.choice.Incarnation, j.lastOutput())
	switch {
	case err != nil:
		return j.silentEngine(err)
	case state == messenger.ProcessExited:
		return StopReply{End: RunEndExited}, nil
	}
	return StopReply{Busy: state == messenger.ProcessUnknown}, nil
}

// lastOutput returns when the backend server of the current attempt was heard of last, or when the
// attempt was sent if it was not.
func (j *job) lastOutput() time.Time { return later(j.attemptAt, j.lastEventAt) }

// silentEngine returns what is known of an engine that did not answer for the reason err. One that is cut
// off and has another incarnation has ended behind the cut.
func (j *job) silentEngine(err error) (StopReply, error) {
	if j.replaced() {
		return StopReply{End: RunEndReplaced}, nil
	}
	return StopReply{}, err
}

// inspect asks the companion of an engine for the state of an incarnation that was heard of at lastOutput.
func (r *Relayer) inspect(ctx context.Context, name, address, incarnation string, lastOutput time.Time) (messenger.ProcessState, error) {
	companion := r.settings.CompanionAddress(tracker.Member{Name: name, Spec: storer.MemberSpec{Address: address}})
	conn, err := r.settings.Companions.Conn(ctx, companion)
	if err != nil {
		return messenger.ProcessUnknown, errors.Trace(err)
	}
	var inspected messenger.Inspected
	question := messenger.Inspect{Incarnation: incarnation, QuietMillis: r.settings.Now().Sub(lastOutput).Milliseconds()}
	if err := conn.Call(ctx, messenger.MethodInspect, question, &inspected); err != nil {
		return messenger.ProcessUnknown, errors.Trace(err)
	}
	return inspected.State, nil
}

// inspectInBackground lets the companion of an engine notice that the engine refuses connections: a process
// that ends does so at the moment at which its connections end, one that goes on does so before.
func (r *Relayer) inspectInBackground(c placer.Choice) {
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	of := incarnation{name: c.Name, incarnation: c.Incarnation}
	if _, inspecting := r.inspecting[of]; inspecting || r.root.Err() != nil {
		return
	}
	r.inspecting[of] = struct{}{}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.root, endRunTimeout)
		defer cancel()
		if _, err := r.inspect(ctx, c.Name, c.Address, c.Incarnation, r.settings.Now()); err != nil {
			r.settings.Log.Debug().Err(err).Str("Backend", c.Name).Msg("companion not asked for an engine that refuses connections")
		}
		r.lossesMu.Lock()
		defer r.lossesMu.Unlock()
		delete(r.inspecting, of)
	})
}

// replaced reports whether another incarnation of the chosen backend server is known.
func (j *job) replaced() bool {
	m, ok := j.relayer.settings.View().Member(j.choice.Name)
	return ok && m.Spec.Incarnation != j.choice.Incarnation
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
