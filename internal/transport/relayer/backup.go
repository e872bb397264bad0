package relayer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

// backupRatio is the size of a prompt, in answers, up to which a copy of a
// request's memory is kept at a second engine. The copy costs by its size, and is
// worth the time for which the answer may break: a long prompt with a short answer
// is cheaper to lose.
const backupRatio = 4

// lossMemory is for how long after the loss of a stream further losses are expected:
// what breaks streams lasts for some seconds. On a day without losses copies would
// cost a hundredth of what the streams are worth, for nothing.
const lossMemory = 6 * time.Second

// noteLoss remembers that a stream broke.
func (r *Relayer) noteLoss() { r.lostAt.Store(r.settings.Now().UnixNano()) }

func (r *Relayer) lossesExpected() bool {
	return r.settings.Now().UnixNano()-r.lostAt.Load() < int64(lossMemory)
}

// chooseBackup picks the engine that is to keep a copy of the request's memory, and
// returns its address; empty where none is to be kept.
//
// An engine that is lost takes its streams with it, which may run once only. A
// stream that goes on from the copy is the same run, and its caller sees no more
// than a pause.
func (j *job) chooseBackup() string {
	j.backup = placer.Choice{}
	c := j.call
	if !j.relayer.lossesExpected() || !j.route.Stream || c.AnswerTokens == 0 || c.PromptTokens > backupRatio*c.AnswerTokens || j.service.Engine == nil {
		return ""
	}
	r := j.relayer
	if !r.settings.Placer.Second(r.settings.Now(), j.wanted(), &j.choice, &j.backup) {
		return ""
	}
	return j.backup.Address
}

// backupDelay is the time after a stream's first event from which a copy is counted
// on: engines send what is new several times a second.
const backupDelay = 400 * time.Millisecond

// resume reports whether the request can go on from the copy of its memory, and makes
// the next attempt do so.
//
// Without a copy the second engine refuses the request, unless it is lost in that
// moment: nobody could then tell whether it had begun anew. So a request goes on
// only where its copy must have come.
func (j *job) resume() bool {
	if j.backup.Name == "" || !j.began || j.relayer.settings.Now().Sub(j.firstAt) < backupDelay {
		return false
	}
	j.from = j.backup.Address + "/" + j.call.ID
	return true
}
