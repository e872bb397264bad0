package attendant

import (
	"context"
	"fmt"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// guest is a request that waits for its adapter, or is admitted. Its fields are
// guarded by Attendant.mu.
type guest struct {
	admit messenger.Admit
	conn  *messenger.Conn
	// version is the one that the guest gets, and name its name in the table;
	// empty where it needs no adapter.
	version uint64
	name    string
	// wanted tells that the table knows the guest.
	wanted bool
	// done is closed when the wait ends; refused then tells why it failed.
	done     chan struct{}
	admitted bool
	refused  *messenger.Refusal
	began    time.Time
}

// earlyLimit is for how long a release is remembered that came first.
const earlyLimit = 5 * time.Second

// admit waits until the request's adapter is ready.
func (a *Attendant) admit(ctx context.Context, conn *messenger.Conn, m messenger.Admit) (any, error) {
	g, refusal := a.receive(conn, m) //nolint:contextcheck // Orders outlive the request that led to them.
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Duration(m.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-g.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-a.root.Done():
	}
	return a.answer(g) //nolint:contextcheck // Orders outlive the request that led to them.
}

// answer tells how the wait ended. A guest that still waits is dropped.
func (a *Attendant) answer(g *guest) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	waited := a.settings.Now().Sub(g.began)
	switch {
	case g.admitted:
		a.metrics.waited.Observe(waited.Seconds())
		return messenger.Admitted{Version: g.version}, nil
	case g.refused == nil:
		a.drop(g)
		g.refused = messenger.NewRefusal(messenger.ReasonDeadline, "the adapter was not ready in time")
	}
	a.metrics.refused.Inc()
	a.settings.Log.Info().Str("Request", g.admit.Request).Str("Version", g.name).Dur("Waited", waited).
		Str("Reason", g.refused.Detail).Int("Guests", len(a.guests)).Msg("not admitted")
	return nil, g.refused
}

// receive takes a request in, and admits it at once where its adapter is there.
func (a *Attendant) receive(conn *messenger.Conn, m messenger.Admit) (*guest, *messenger.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(conn)
	now := a.settings.Now()
	if _, released := a.early[m.Request]; released {
		delete(a.early, m.Request)
		return nil, messenger.NewRefusal(messenger.ReasonCancelled, "released before it was admitted")
	}
	switch {
	case a.closed:
		return nil, messenger.NewRefusal(messenger.ReasonStopping, "the companion stops")
	case a.table == nil || !a.reachable:
		return nil, messenger.NewRefusal(messenger.ReasonUnavailable, "the engine was not seen lately")
	case m.Incarnation != "" && a.incarnation != "" && m.Incarnation != a.incarnation:
		return nil, messenger.NewRefusal(messenger.ReasonStaleEpoch, "another life of the engine")
	case m.Model != "" && !a.report.holds(m.Model) && a.ordered != m.Model:
		return nil, messenger.NewRefusal(messenger.ReasonUnavailable, "the engine does not hold the model")
	case a.guests[m.Request] != nil:
		return nil, messenger.NewRefusal(messenger.ReasonMalformed, "the request is admitted already")
	}
	if refusal := a.sendBack(m); refusal != nil {
		return nil, refusal
	}
	g := &guest{admit: m, conn: conn, done: make(chan struct{}), began: now}
	a.guests[m.Request] = g
	a.change()
	if m.Adapter == "" && a.report.holds(m.Model) {
		a.let(g, now)
		return g, nil
	}
	if m.Adapter == "" {
		a.blocked[m.Request] = g
		return g, nil
	}
	g.version = max(m.Version, a.settings.View().Newest(adapterName(m.Model, m.Adapter)))
	g.name = versionName(m.Model, m.Adapter, g.version)
	a.want(g, now)
	return g, nil
}

// sendBack refuses a request whose entry was misled by an old state, so that it goes
// elsewhere. The caller holds mu.
func (a *Attendant) sendBack(m messenger.Admit) *messenger.Refusal {
	if !m.Movable || m.Adapter == "" {
		return nil
	}
	version := max(m.Version, a.settings.View().Newest(adapterName(m.Model, m.Adapter)))
	state := a.wholeState()
	wait, misled := placer.CheckExpectedWait(&state, adapterName(m.Model, m.Adapter), version, time.Duration(m.ExpectedMillis)*time.Millisecond)
	if !misled {
		return nil
	}
	a.metrics.sentBack.Inc()
	r := messenger.NewRefusal(messenger.ReasonMisled, "the request would wait much longer than expected")
	r.RetryAfterMillis = wait.Milliseconds()
	return r
}

// want has the table wait for the guest's version, once the model is there and no
// other version of the adapter is in the way. The caller holds mu.
func (a *Attendant) want(g *guest, now time.Time) {
	if !a.report.holds(g.admit.Model) {
		a.blocked[g.admit.Request] = g
		return
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		if model != g.admit.Model || adapter != g.admit.Adapter || version == g.version {
			continue
		}
		if version > g.version {
			g.version, g.name = version, r.Version
			continue
		}
		a.blocked[g.admit.Request] = g
		a.displace(r.Version, now)
		return
	}
	delete(a.blocked, g.admit.Request)
	g.wanted = true
	a.apply(a.table.Want(now, loader.Want{
		Request: g.admit.Request, Workspace: g.admit.Model, Share: 1, Version: g.name, Source: g.name,
		Due: g.began.Add(time.Duration(g.admit.SlackMillis) * time.Millisecond),
	}))
	a.settle(now)
}

// displace makes a version give its slot up; guests that wait for it wait for the
// later one. The caller holds mu.
func (a *Attendant) displace(version string, now time.Time) {
	for _, g := range a.guests {
		if g.name == version && g.wanted && !g.admitted {
			g.wanted = false
			a.apply(a.table.Release(now, g.admit.Request))
			g.version = max(g.version, a.settings.View().Newest(adapterName(g.admit.Model, g.admit.Adapter)))
			g.name = versionName(g.admit.Model, g.admit.Adapter, g.version)
			a.blocked[g.admit.Request] = g
		}
	}
	a.apply(a.table.Replace(now, version))
}

// settle admits the guests whose version is ready, and lets those go on that an
// earlier version blocked. The caller holds mu.
func (a *Attendant) settle(now time.Time) {
	for _, g := range a.guests {
		if g.wanted && !g.admitted && g.refused == nil && a.table.Pin(g.admit.Request) {
			a.let(g, now)
		}
	}
	for _, g := range a.blocked {
		switch {
		case !a.report.holds(g.admit.Model) || a.otherVersion(g):
		case g.admit.Adapter == "":
			delete(a.blocked, g.admit.Request)
			a.let(g, now)
		default:
			a.want(g, now)
		}
	}
}

// otherVersion reports whether another version of the guest's adapter has a slot.
// The caller holds mu.
func (a *Attendant) otherVersion(g *guest) bool {
	if g.admit.Adapter == "" {
		return false
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		if model == g.admit.Model && adapter == g.admit.Adapter && version != g.version {
			return true
		}
	}
	return false
}

// let admits the guest. The caller holds mu.
func (a *Attendant) let(g *guest, now time.Time) {
	g.admitted = true
	fresh := a.book.read(g.admit, g.version)
	read := placer.ReadTime(fresh, g.admit.Tokens, a.settings.PrefillRate)
	if a.readUntil.Before(now) {
		a.readUntil = now
	}
	a.readUntil = a.readUntil.Add(read)
	a.change()
	close(g.done)
}

// refuse ends a guest's wait. The caller holds mu.
func (a *Attendant) refuse(g *guest, r *messenger.Refusal) {
	delete(a.guests, g.admit.Request)
	delete(a.blocked, g.admit.Request)
	g.refused = r
	close(g.done)
}

// release ends an admission.
func (a *Attendant) release(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.guests[request]
	if g == nil {
		a.early[request] = a.settings.Now()
		return
	}
	if !g.admitted {
		a.drop(g)
		g.refused = messenger.NewRefusal(messenger.ReasonCancelled, "released while it waited")
		close(g.done)
		return
	}
	a.drop(g)
}

// drop forgets a guest. The caller holds mu.
func (a *Attendant) drop(g *guest) {
	delete(a.guests, g.admit.Request)
	delete(a.blocked, g.admit.Request)
	a.change()
	if g.wanted {
		now := a.settings.Now()
		a.apply(a.table.Release(now, g.admit.Request))
		a.settle(now)
	}
}

func (a *Attendant) backlog() int {
	return int(max(0, a.readUntil.Sub(a.settings.Now())).Milliseconds())
}

// waitingRead returns the time to read the prompts of the guests that wait, in
// milliseconds. The caller holds mu.
func (a *Attendant) waitingRead() int {
	var read time.Duration
	for _, g := range a.guests {
		if !g.admitted {
			read += placer.ReadTime(a.book.unread(g.admit, g.version), g.admit.Tokens, a.settings.PrefillRate)
		}
	}
	return int(read.Milliseconds())
}

func loadRefusal(f loader.FailAction) *messenger.Refusal {
	r := messenger.NewRefusal(messenger.ReasonLoadFailed, fmt.Sprintf("%s: %s", f.Version, f.Cause))
	r.RetryAfterMillis = f.RetryAfter.Milliseconds()
	return r
}
