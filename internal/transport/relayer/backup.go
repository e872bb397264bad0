package relayer

import (
	"cmp"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

// maxBackupRatio is the largest ratio of prompt tokens to answer tokens at which a
// second engine keeps a copy of a request's KV cache. The cost of the copy grows with
// the prompt, its benefit with the time that the answer takes: a long prompt with a
// short answer is cheaper to lose.
const maxBackupRatio = 4

// lossWindow is how long further losses are expected after a stream was lost: the
// causes last for some seconds. Without this window, copies on a day without losses
// would cost a hundredth of what the streams are worth, for no benefit.
const lossWindow = 6 * time.Second

// recordStreamLoss records the time at which a stream broke.
func (r *Relayer) recordStreamLoss() { r.lastStreamLossAt.Store(r.settings.Now().UnixNano()) }

func (r *Relayer) lossesExpected() bool {
	return r.settings.Now().UnixNano()-r.lastStreamLossAt.Load() < int64(lossWindow)
}

// chooseBackup selects the engine that keeps a copy of the request's KV cache, stores
// it in j.backup and returns its address; it returns "" if no copy is to be kept.
//
// The streams of a lost engine may run only once. A stream that resumes from the copy
// is the same run, and its caller sees only a pause. At the attempt limit no copy is kept;
// j.backup is then the target that a request to stop the run names.
func (j *job) chooseBackup() string {
	j.backup = placer.Choice{}
	last := !j.mayResumeAfter()
	if last && (j.service.Engine == nil || !j.service.Engine.Moves) {
		return ""
	}
	c := j.call
	if !j.relayer.lossesExpected() || !j.route.Stream || c.AnswerTokens == 0 || c.PromptTokens > maxBackupRatio*c.AnswerTokens || j.service.Engine == nil {
		return ""
	}
	r := j.relayer
	call := j.placerCall()
	call.Software = j.choice.Software
	if !r.settings.Placer.Second(r.settings.Now(), call, &j.choice, &j.backup) || last {
		return ""
	}
	return j.backup.Address
}

// backupReadyDelay is the time after a stream's first event from which its copy is
// assumed to exist: engines send new state several times a second.
const backupReadyDelay = 400 * time.Millisecond

// continueStream decides how a call continues of whose answer a part was forwarded: from the
// copy of its KV cache, with a new run on a resumable route, or not at all. It reports whether
// another attempt is to be made. If not, the answer has been broken off.
func (j *job) continueStream(v verdict) bool {
	j.resumeFrom = ""
	if v == verdictUnknown {
		j.resumeFrom, j.resumeAt = j.locateCopy()
	}
	switch {
	case j.resumeFrom != "":
		return true
	case j.ctx.Err() != nil:
		j.answerAborted()
		return false
	case !j.route.Resumable:
		j.answerExhausted("the stream broke")
		return false
	}
	j.avoid = append(j.avoid, j.choice.Name)
	return true
}

// locateCopy returns the name of the KV cache from which the call resumes, and the engine where it
// does; empty means that it can't. Beyond the attempt limit it resumes at the engine that stopped
// its run, which keeps the KV cache.
//
// A second engine that has no copy refuses the request, unless that engine is lost at the same
// moment: then it would not be known whether the request had started again. A copy is therefore
// used only if it must have arrived, and, since the call may run only once, only if its run at the
// first engine is known to have ended.
func (j *job) locateCopy() (from, at string) {
	if j.backup.Name == "" {
		return "", ""
	}
	if !j.backupFits() {
		j.relayer.metrics.unusableCopies.WithLabelValues(j.service.Name).Inc()
		return "", ""
	}
	arrived := j.relayer.settings.Now().Sub(j.firstEventAt) >= backupReadyDelay
	j.source = incarnation{name: j.choice.Name, incarnation: j.choice.Incarnation}
	reply := j.endRun()
	elsewhere, made := j.mayResumeElsewhere(), j.choice.Address+"/"+reply.Handle
	switch {
	case reply.End == RunEndUnknown:
		return "", ""
	case elsewhere && reply.Copied:
		return made, j.backup.Name
	case elsewhere && arrived:
		return j.backup.Address + "/" + j.call.ID, j.backup.Name
	case reply.Handle != "":
		return made, j.choice.Name
	}
	return "", ""
}

// recordWeights records with which version of the model's weights the KV cache of a stream is
// made that has begun, and reports whether the answer may be forwarded. The answer's own statement
// is newer than what the entry knows of the engine.
func (j *job) recordWeights(head Head) bool {
	weights := cmp.Or(head.Weights, j.choice.Weights)
	if j.resumeFrom != "" {
		return weights == j.weights
	}
	j.weights = weights
	return true
}

// recordAdapter records with which version of the adapter the request was admitted, and reports
// whether it may be sent: a request that resumes needs the version with which its KV cache was made.
func (j *job) recordAdapter(version uint64) bool {
	if j.resumeFrom != "" {
		return version == j.adapterVersion
	}
	j.adapterVersion = version
	return true
}

// backupFits reports whether the engine that keeps the copy is still the same incarnation and has
// the weights with which the KV cache was made, and whether no newer version of the adapter is
// known, which the engine would load instead.
func (j *job) backupFits() bool {
	if j.call.Adapter != "" && j.relayer.settings.View().Newest(j.call.Model+"/"+j.call.Adapter) > j.adapterVersion {
		return false
	}
	m, ok := j.relayer.settings.View().Member(j.backup.Name)
	return ok && m.Spec.Incarnation == j.backup.Incarnation && m.Spec.Weights == j.weights && j.backup.Weights == j.weights
}
