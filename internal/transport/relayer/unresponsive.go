package relayer

import (
	"slices"
	"time"
)

// unresponsiveFactor is the ratio of the time for which a backend server without a companion has not answered any
// of its calls, so that it counts as unresponsive, to the mean time that calls take.
const unresponsiveFactor = 4

// recordContact records that the chosen backend server has answered.
func (j *job) recordContact() {
	r := j.relayer
	now, bootNow := r.settings.Now(), r.settings.BootNow()
	r.budget.answered(bootNow, j.service.Name, j.choice.Name, bootNow.Add(j.attemptAt.Sub(now)))
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	r.answeredAt[j.choice.Name] = now
	delete(r.unresponsive, j.choice.Name)
}

// suspectUnresponsive finds the backend servers without a companion that have answered none of their calls for
// much longer than calls take, and lets new calls avoid them until the given time.
func (r *Relayer) suspectUnresponsive(now, until time.Time) {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for name, attempts := range r.attempts {
		for a := range attempts {
			if a.job.service.Engine != nil || !a.sent.Load() {
				continue
			}
			silentSince := later(time.Unix(0, a.waitingSince.Load()), r.answeredAt[name])
			usual := r.durations.mean(now, a.job.route.Name)
			// Without a recent answer it isn't known whether calls take that long.
			if usual > 0 && now.Sub(silentSince) > max(r.settings.Silence.SilentAfter, unresponsiveFactor*usual) {
				r.unresponsive[name] = a.incarnation
				r.settings.Placer.Suspect(a.job.service.Name, name, until)
				break
			}
		}
	}
	r.forgetUnresponsive()
}

// forgetUnresponsive forgets the incarnations that have ended. The caller holds attemptsMu.
func (r *Relayer) forgetUnresponsive() {
	for name, incarnation := range r.unresponsive {
		if m, ok := r.settings.View().Member(name); !ok || m.Spec.Incarnation != incarnation {
			delete(r.unresponsive, name)
		}
	}
}

// avoided returns the names of the backend servers that the call avoids. A repeated call is not sent to one that
// is unresponsive: a process that stands still reads it later, with the time that was left when it was sent,
// although its caller has given it up. A first call may find that it answers again.
func (j *job) avoided() []string {
	r := j.relayer
	if j.reached == 0 || j.service.Engine != nil {
		return j.avoid
	}
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	avoid := slices.Clone(j.avoid)
	for name := range r.unresponsive {
		avoid = append(avoid, name)
	}
	return avoid
}
