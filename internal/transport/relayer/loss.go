package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	// lossGatherDelay is the wait from the first attempt that broke until its backend
	// server is inspected: the connections of a process end together, and an entry
	// reads their ends within a few milliseconds.
	lossGatherDelay = 20 * time.Millisecond
	// restartDetectionTime is how long a backend server that did not announce its
	// departure is watched for a restart: its next announcement comes when it has
	// started, a few seconds later.
	restartDetectionTime = 5 * time.Second
	// restartPollInterval is the time between two checks for a restart.
	restartPollInterval = 100 * time.Millisecond
	// maxLosses limits the concurrent inspections, maxLossAttempts the attempts of
	// each: more than an entry has in progress at one backend server.
	maxLosses       = 256
	maxLossAttempts = storer.MaxEnded
)

//go:generate stringer -type=fate -trimprefix=fate

// fate is the state of a backend server whose attempts broke. The names of the values
// are written to metrics and logs.
type fate int

const (
	// fateUnknown means that the state is not known: the backend server may be
	// partitioned.
	fateUnknown fate = iota
	// fateEnded means that its incarnation ended without announcing it.
	fateEnded
	// fateLives means that it accepts connections: only the connections of the attempts
	// ended.
	fateLives
	// fateLeft means that it was leaving.
	fateLeft
)

// incarnation identifies one incarnation of a backend server.
type incarnation struct{ name, incarnation string }

// loss collects the attempts at one incarnation of a backend server that broke at the
// same time.
type loss struct {
	incarnation      incarnation
	service, address string
	attempts         []brokenAttempt
	// engine means that a companion runs on the backend server's host.
	engine bool
	// lastOutput is when the backend server was heard of last, or when the latest attempt was sent
	// if it was not.
	lastOutput time.Time
}

// brokenAttempt is an attempt that broke.
type brokenAttempt struct {
	request  storer.EndedRequest
	identity identifier.Identity
	stage    storer.RunStage
	// parts are the ids of all parts of the prompt, and suspects those that may be to blame.
	parts, suspects []uint64
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a brokenAttempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Same", a.request.Name).Stringer("Stage", a.stage).Strs("Parts", formatParts(a.parts))
}

// formatParts returns the ids of parts of a prompt as they are written to logs.
func formatParts(parts []uint64) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = storer.PartName(p)
	}
	return out
}

// recordLoss records that the call's attempt broke, and starts an inspection of the
// backend server if none is pending.
func (r *Relayer) recordLoss(j *job) {
	broke := brokenAttempt{
		request: storer.EndedRequest{
			Name: j.requestIdentity().String(), Place: j.placeHash(), Progressed: j.progressed(), Known: j.knownRevision,
		},
		identity: j.requestIdentity(), stage: j.stage(), parts: j.call.partIDs(), suspects: j.call.suspectParts(),
	}
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	of := incarnation{name: j.choice.Name, incarnation: j.choice.Incarnation}
	l := r.losses[of]
	if l != nil {
		l.lastOutput = later(l.lastOutput, j.lastOutput())
	}
	switch {
	case l != nil && len(l.attempts) < maxLossAttempts:
		l.attempts = append(l.attempts, broke)
	case l != nil, r.inspections >= maxLosses, r.root.Err() != nil:
		r.metrics.losses.WithLabelValues(j.service.Name, "Overflow").Inc()
	default:
		r.losses[of] = &loss{
			incarnation: of, service: j.service.Name, address: j.choice.Address, attempts: []brokenAttempt{broke},
			engine: j.service.Engine != nil, lastOutput: j.lastOutput(),
		}
		r.inspections++
		r.tasks.Go(func() { r.inspectLoss(of) })
	}
}

// collectLoss waits until the attempts that break together are recorded, and returns
// all of them.
func (r *Relayer) collectLoss(of incarnation) *loss {
	pauser.Pause(r.root, lossGatherDelay)
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	l := r.losses[of]
	delete(r.losses, of)
	return l
}

// inspectLoss determines whether a backend server has ended, logs the attempts that
// broke with it, and reports them if it has.
//
// The end of a connection does not prove that the process at its other end has ended: a
// partition, a middlebox or a reset on the path looks the same as a crash.
func (r *Relayer) inspectLoss(of incarnation) {
	l := r.collectLoss(of)
	f := r.fateOf(l)
	defer r.inspectionDone()
	r.metrics.losses.WithLabelValues(l.service, f.String()).Inc()
	same := make([]string, 0, len(l.attempts))
	attempts := zerolog.Arr()
	for _, a := range l.attempts {
		same = append(same, a.request.Name)
		attempts.Object(a)
	}
	r.settings.Log.Info().Str("Backend", of.name).Str("Incarnation", of.incarnation).Stringer("Fate", f).
		Int("Sendings", len(l.attempts)).Strs("Same", same).Array("Attempts", attempts).Msg("sendings broke")
	if f == fateEnded {
		r.reportPartEnds(l)
		r.reportEnds(l)
	}
}

// fateOf determines the state of a backend server. It blocks for up to
// restartDetectionTime.
func (r *Relayer) fateOf(l *loss) fate {
	of := l.incarnation
	if m, ok := r.settings.View().Member(of.name); !ok || m.Spec.Incarnation == of.incarnation && m.Spec.State != storer.MemberStateServing {
		return fateLeft
	}
	ended, err := r.hasEnded(l)
	if err == nil && ended {
		return fateEnded
	}
	until := r.settings.Now().Add(restartDetectionTime)
	for r.settings.Now().Before(until) && r.root.Err() == nil {
		m, ok := r.settings.View().Member(of.name)
		switch {
		case !ok:
			return fateLeft
		case m.Spec.Incarnation != of.incarnation:
			return fateEnded
		}
		pauser.Pause(r.root, restartPollInterval)
	}
	if err == nil {
		return fateLives
	}
	return fateUnknown
}

// hasEnded reports whether the incarnation of a backend server has ended. An error means that this is
// not known. Of a backend server without a companion, a refused connection is the only sign.
func (r *Relayer) hasEnded(l *loss) (bool, error) {
	if !l.engine {
		listens, err := r.settings.Pool.IsListening(r.root, l.address)
		return !listens, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(r.root, endRunTimeout)
	defer cancel()
	state, err := r.inspect(ctx, l.incarnation.name, l.address, l.incarnation.incarnation, l.lastOutput)
	if err == nil && state == messenger.ProcessUnknown {
		err = errors.New("the companion has no evidence")
	}
	return state == messenger.ProcessExited, err
}
