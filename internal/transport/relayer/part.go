package relayer

import (
	"context"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// answersReportInterval is the mean time between two reports of answered requests by one
	// entry. It is varied, so that the first reports clear common parts before all entries
	// have reported.
	answersReportInterval    = 50 * time.Millisecond
	maxAnswersReportInterval = time.Second
	// minReportedEnds is the number of ends from which on entries report the answered requests
	// with a part. Most ends have another cause, and nothing needs to be known of their parts.
	minReportedEnds = 2
)

// suspectParts returns the parts of the prompt that may be to blame for the end of a backend
// server: all except the last, which belongs to this request alone.
func (c *Call) suspectParts() []uint64 {
	ids := c.partIDs()
	return ids[:max(0, len(ids)-1)]
}

// reportPartEnds reports the prompts that were in progress at a backend server that ended, those
// whose answers had begun first.
func (r *Relayer) reportPartEnds(l *loss) {
	c := storer.CountPartEnds{Life: suspecter.Life(l.incarnation.name, l.incarnation.incarnation)}
	for _, stage := range []storer.RunStage{storer.RunStageBegun, storer.RunStageSent} {
		for _, a := range l.attempts {
			if a.stage == stage && len(a.suspects) > 0 {
				c.Runs = append(c.Runs, storer.EndedRun{Request: a.identity.Hash(), Begun: stage == storer.RunStageBegun, Parts: a.suspects})
			}
		}
	}
	if len(c.Runs) > 0 {
		r.propose(c)
	}
}

// recordSurvival records that a backend server has begun to answer the call's prompt, and did
// not crash.
func (j *job) recordSurvival() {
	if parts := j.call.suspectParts(); !j.survived && len(parts) > 0 {
		j.survived = true
		j.relayer.answers.Add(j.relayer.settings.Now(), parts)
	}
}

// recordProgress records a survival once an event of a stream has arrived.
func (j *job) recordProgress() {
	if !j.survived && j.stage() == storer.RunStageProgressed {
		j.recordSurvival()
	}
}

// reportAnswers reports the answered requests with parts during which backend servers ended. It
// reports less often while nothing with these parts is answered.
func (r *Relayer) reportAnswers() {
	interval := answersReportInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-r.root.Done():
			return
		case <-r.answersWanted:
			interval = answersReportInterval
		case <-timer.C:
			interval = min(2*interval, maxAnswersReportInterval)
			parts := suspectedParts(r.settings.View().Parts)
			if answers := r.answers.Take(r.settings.Now(), parts); len(answers) > 0 {
				r.propose(storer.CountPartAnswers{Answers: answers})
				interval = answersReportInterval
			}
		}
		timer.Reset(time.Duration(2 * r.draw() * float64(interval)))
	}
}

// suspectedParts returns the parts of which answered requests are to be reported, sorted.
func suspectedParts(p *blamer.Parts) []uint64 {
	var ids []uint64
	p.Each(func(id uint64, part blamer.Part) {
		if n := len(part.Spec.Ends); n >= minReportedEnds && part.Spec.Answered < storer.MaxAnswersPerEnd*n {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	return ids
}

// blockedPart reports whether the prompt has a part that is blocked, and for how long it is. It
// takes the trial of the part if one is offered. A call is the trial of one part at most.
func (j *job) blockedPart(v *tracker.View) (time.Duration, bool) {
	if !v.Parts.AnyBlocked() {
		return 0, false
	}
	parts := j.call.partIDs()
	if j.trial {
		parts = slices.DeleteFunc(parts, func(id uint64) bool { return id == j.trialPart })
	}
	id, part, is := v.Parts.Blocked(parts)
	if !is {
		return 0, false
	}
	if part.Spec.Trial == storer.PartTrialOffered && !j.trialAsked {
		j.trialAsked, j.trialPart = true, id
		if j.trial = j.relayer.takeTrial(j.ctx, id, part.Revision); j.trial {
			return j.blockedPart(v)
		}
	}
	j.blocked = storer.PartName(id)
	return suspecter.Settings{}.QuarantineTime(part.Spec.Times), true
}

// takeTrial takes the trial of a part, and reports whether it was taken. Of all requests at all
// entries only one gets it.
func (r *Relayer) takeTrial(ctx context.Context, id, revision uint64) bool {
	if r.settings.Submit == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	result, err := r.settings.Submit(ctx, storer.ReviewParts{Reviews: []storer.PartReview{{Part: id, Action: storer.PartActionTakeTrial, Revision: revision}}})
	taken := err == nil && result.Verdict == storer.VerdictAccepted
	r.settings.Log.Info().Err(err).Str("Part", storer.PartName(id)).Bool("Taken", taken).Msg("trial of a blocked part of prompts")
	return taken
}

// trialTimeout limits the wait until a trial is taken.
const trialTimeout = time.Second

// cancelBlocked cancels the attempts with newly blocked parts whose answer has not started.
func (r *Relayer) cancelBlocked(v *tracker.View) {
	fresh := false
	v.Parts.Each(func(_ uint64, part blamer.Part) {
		fresh = fresh || part.Spec.Blocked && part.Revision > r.blockRevision
	})
	r.blockRevision = v.Revision
	if !fresh {
		return
	}
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for _, attempts := range r.attempts {
		for a := range attempts {
			if _, part, is := v.Parts.Blocked(a.job.call.partIDs()); is && part.Spec.Trial == storer.PartTrialNone && !a.started.Load() {
				a.cancel(errQuarantined)
			}
		}
	}
}
