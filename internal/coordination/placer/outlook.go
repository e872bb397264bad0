package placer

import (
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// freshAge is the age up to which a report counts as fresh. Engines that are short of
// capacity change all the time, and a companion with 60 subscribers in its own failure domain
// reports each 600 ms.
const freshAge = time.Second

// Outlook is what an entry expects for a call at the backend servers that may get it. The
// other fields are set only if neither Free nor Unknown is.
type Outlook struct {
	// Free means that one has a free slot, or the call's adapter.
	Free bool
	// Unknown means that one has no fresh report, or rests and may serve the call afterwards.
	Unknown bool
	// Servers is the number of them, and Least the least expected time until the first byte;
	// for a plain service, until the answer.
	Servers int
	Least   time.Duration
	// Wait is the part of Least that others cause, and Age the age of the oldest report used.
	Wait, Age time.Duration
	// OwnCalls is the number of this entry's calls in progress there, and Duration the expected
	// duration of a call to a plain service.
	OwnCalls int
	Duration time.Duration
}

// Hopeless reports whether all backend servers are known by fresh reports, none has a free
// slot or the call's adapter, and none is expected to answer within left.
func (o Outlook) Hopeless(left time.Duration) bool {
	return !o.Free && !o.Unknown && o.Servers > 0 && o.Least > left
}

// LeastWait returns what is expected for a call, without the penalties by which Choose
// compares backend servers. Those that are suspect, or to be avoided, are left out, as are
// those without a turn under their limit of requests.
func (p *Placer) LeastWait(now time.Time, c *Call) Outlook {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	var out Outlook
	for _, b := range o.backends {
		if !o.mayServe(now, c, b, &p.settings) {
			continue
		}
		age, fresh := o.stateAge(now, b)
		if !fresh || o.rests(now, b) {
			return Outlook{Unknown: true}
		}
		if o.hasRoom(b, c) {
			return Outlook{Free: true}
		}
		first, wait := o.firstByte(now, c, b, &p.settings)
		if out.Servers == 0 || first < out.Least {
			out.Least, out.Wait = first, wait
		}
		out.Servers++
		out.Age = max(out.Age, age)
		out.OwnCalls += b.ownCalls
		out.Duration = max(out.Duration, o.duration(now, b, &p.settings))
	}
	return out
}

// mayServe reports whether a backend server may get the call as far as others don't fill it.
// The caller holds o.mu.
func (o *pool) mayServe(now time.Time, c *Call, b *backend, s *Settings) bool {
	return b.member.Spec.State == storer.MemberStateServing && !now.Before(b.suspectUntil) && !slices.Contains(c.Avoid, b.member.Name) &&
		b.hasSoftware(c) && !o.leaves(b) && o.hasTurn(now, c, b, s)
}

// stateAge returns the age of what is known of a backend server's load, and whether it is
// fresh. The caller holds o.mu.
func (o *pool) stateAge(now time.Time, b *backend) (time.Duration, bool) {
	if o.engine == nil {
		age := now.Sub(b.loadAt)
		return age, !b.loadAt.IsZero() && age < maxLoadAge
	}
	age := now.Sub(b.reportedAt)
	return age, b.reported() && age < freshAge
}

// hasRoom reports whether a backend server has the adapter of the call or a free slot for it.
// Calls without an adapter need no slot of an engine. The caller holds o.mu.
func (o *pool) hasRoom(b *backend, c *Call) bool {
	if o.engine == nil {
		return b.member.Spec.Slots <= 0 || max(b.ownCalls, b.load) < b.member.Spec.Slots
	}
	if c.Adapter == "" {
		return false
	}
	if a, held := b.slot(c.Model + "/" + c.Adapter); held && a.Version >= c.Version && !a.Loading {
		return true
	}
	used := len(b.pendingAdapters)
	for _, a := range b.adapters {
		if a.Loading || a.Pins > 0 {
			used++
		}
	}
	return used < b.state.MaxAdapters
}

// firstByte returns the expected time until the first byte of a call, or the answer of a
// plain service, and the part of it that others cause. The caller holds o.mu.
func (o *pool) firstByte(now time.Time, c *Call, b *backend, s *Settings) (total, wait time.Duration) {
	turn := b.limits.wait(now)
	if o.engine == nil {
		duration := b.expectedCallTime(now, s)
		calls := max(b.ownCalls, b.load)
		wait = turn + time.Duration(float64(calls)/float64(max(1, b.member.Spec.Slots))*float64(duration))
		return wait + duration, wait
	}
	load := time.Duration(0)
	if c.Adapter != "" {
		load = b.adapterWait(c.Model+"/"+c.Adapter, c.Version, s)
	}
	wait = turn + b.promptWait(now, load)
	_, read := o.readTimes(now, c, b, s)
	return wait + read, wait
}

// SlowdownReported reports whether a backend server of the service has reported its slowdown factor.
func (p *Placer) SlowdownReported(service string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.slowdownReported
}
