package relayer

import (
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// maxRestSpread is the share of the time until a rest ends over which the callers that were refused
// because of it are spread.
const maxRestSpread = 0.25

// recordNotices applies what the answer to the current attempt asks of this entry.
func (j *job) recordNotices(head Head) {
	r := j.relayer
	if head.OtherIncarnation {
		return
	}
	if head.Slowdown > 0 {
		r.settings.Placer.TellSlowdown(&j.choice)
	}
	if head.Leaving && r.settings.Placer.RecordLeaving(r.settings.Now(), &j.choice) {
		r.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
			Msg("backend server says that it leaves")
	}
	if head.Rest <= 0 {
		return
	}
	r.settings.Placer.RecordRest(r.settings.Now(), &j.choice, head.Rest)
	r.metrics.rests.WithLabelValues(j.service.Name).Inc()
	r.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
		Dur("Rest", head.Rest).Msg("backend server asked for rest")
}

// awaitRest waits, and reports whether a call whose backend servers all rest is to be offered again.
// A call that can't be served within the time for which it may be held is not.
func (j *job) awaitRest() bool {
	r := j.relayer
	now := r.settings.Now()
	left := r.settings.Placer.RestEnd(now, j.placerCall())
	holdUntil := j.arrived.Add(time.Duration(holdShare * float64(j.deadline.Sub(j.arrived))))
	return left > 0 && !j.answer.begun() && !now.Add(left).After(holdUntil) && pauser.Pause(j.ctx, left)
}

// refuseResting refuses a call whose backend servers all rest. The caller is asked to return after
// the end of the first rest, at a random time, so that those refused together do not return
// together.
func (j *job) refuseResting() {
	r := j.relayer
	if j.ctx.Err() != nil {
		j.answerAborted()
		return
	}
	if j.failed != nil || j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(placer.ErrResting.Error())
		return
	}
	left := r.settings.Placer.RestEnd(r.settings.Now(), j.placerCall())
	after := max(r.settings.RetryAfter, left+time.Duration(r.draw()*maxRestSpread*float64(left)))
	_ = j.refuse(http.StatusServiceUnavailable, placer.ErrResting.Error(), after)
}
