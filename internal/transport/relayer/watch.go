package relayer

import (
	"context"
	"maps"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// useRetention is how long an engine that is not followed stays watched after the last call
// there: the longest time that a stream usually takes.
const useRetention = 20 * time.Second

// engineOf returns the name of the engine whose companion is the peer of conn. Only
// reports of the whole state contain the name.
func (r *Relayer) engineOf(conn *messenger.Conn, name string) string {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	if name == "" {
		return r.engines[conn]
	}
	r.engines[conn] = name
	return name
}

// watchCompanions keeps the entry subscribed to the state of the engines that it follows.
func (r *Relayer) watchCompanions() {
	ticker := time.NewTicker(r.settings.WatchInterval)
	defer ticker.Stop()
	logged := make(map[string]loggedSeparation)
	for {
		select {
		case <-r.root.Done():
			return
		case <-ticker.C:
		case <-r.poll:
		}
		routing := r.settings.View().Routing
		if routing == nil {
			continue
		}
		r.recordSeparation(routing, logged)
		r.endUnused()
		wanted := make(map[string]tracker.Member)
		r.settings.Placer.EachKnown(func(m tracker.Member) { wanted[m.Name] = m })
		r.unwatchOthers(wanted)
		for _, m := range wanted {
			if !r.subscribed(m) {
				r.tasks.Go(func() { r.subscribe(m) })
			}
		}
	}
}

// use watches an engine that is not followed while the entry has a call there: its state
// shows whether further calls fit, and its silence that the call has to move.
func (r *Relayer) use(j *job) {
	name := j.choice.Name
	isNew := r.settings.Placer.Use(j.service.Name, name)
	r.watchedMu.Lock()
	_, used := r.lastUsed[name]
	if used || isNew {
		r.lastUsed[name] = r.settings.Now()
	}
	r.watchedMu.Unlock()
	if !isNew {
		return
	}
	notify(r.poll)
}

// endUnused stops watching the engines that are not followed and have had no call for
// useRetention.
func (r *Relayer) endUnused() {
	now := r.settings.Now()
	var ended []string
	r.watchedMu.Lock()
	for name, at := range r.lastUsed {
		if now.Sub(at) > useRetention && !r.hasAttempts(name) {
			delete(r.lastUsed, name)
			ended = append(ended, name)
		}
	}
	r.watchedMu.Unlock()
	for _, name := range ended {
		if m, ok := r.settings.View().Member(name); ok {
			r.settings.Placer.Unuse(m.Spec.Service, name)
		}
	}
}

// hasAttempts reports whether there are attempts in progress at an engine.
func (r *Relayer) hasAttempts(name string) bool {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	return len(r.attempts[name]) > 0
}

// unwatchOthers ends the subscriptions to all engines that are not wanted and have no attempts
// in progress: the silence of their hosts must still be noticed.
func (r *Relayer) unwatchOthers(wanted map[string]tracker.Member) {
	var ended []*messenger.Conn
	r.watchedMu.Lock()
	maps.DeleteFunc(r.watched, func(name string, c companion) bool {
		if _, is := wanted[name]; is || r.hasAttempts(name) {
			return false
		}
		ended = append(ended, c.conn)
		return true
	})
	maps.DeleteFunc(r.engines, func(c *messenger.Conn, name string) bool {
		w, is := r.watched[name]
		return c.Ended() || is && w.conn != c
	})
	r.watcher.Retain(func(name string) bool {
		_, is := r.watched[name]
		return is
	})
	r.watchedMu.Unlock()
	for _, c := range ended {
		// A companion whose connection has ended has ended the subscription, too.
		_ = c.Notify(r.root, messenger.MethodWatch, messenger.Watch{Node: r.settings.Node, FailureDomain: r.settings.FailureDomain, End: true})
	}
}

// subscribed reports whether a companion reports its state on the current connection,
// and the state is known.
func (r *Relayer) subscribed(m tracker.Member) bool {
	conn := r.settings.Companions.Live(r.settings.CompanionAddress(m))
	r.watchedMu.Lock()
	c := r.watched[m.Name]
	r.watchedMu.Unlock()
	return conn != nil && c.conn == conn && r.settings.Placer.HasReport(m.Spec.Service, m.Name)
}

// subscribe asks a companion to report its state, unless it already does and the state
// is known. The state may be unknown because the companion's first report can arrive
// before the entry has learned of its engine.
func (r *Relayer) subscribe(m tracker.Member) {
	address := r.settings.CompanionAddress(m)
	ctx, cancel := context.WithTimeout(r.root, r.settings.WatchInterval)
	defer cancel()
	conn, err := r.settings.Companions.Conn(ctx, address)
	if err != nil {
		return
	}
	r.watchedMu.Lock()
	known := r.watched[m.Name].conn == conn
	r.watched[m.Name] = companion{service: m.Spec.Service, conn: conn}
	r.watchedMu.Unlock()
	if known && r.settings.Placer.HasReport(m.Spec.Service, m.Name) {
		return
	}
	if !known {
		r.settings.Log.Info().Str("Companion", address).Msg("companion reached")
	}
	r.requestState(conn)
}

// requestState asks a companion to report the whole state of its engine.
func (r *Relayer) requestState(conn *messenger.Conn) {
	if err := conn.Notify(r.root, messenger.MethodWatch, messenger.Watch{Node: r.settings.Node, FailureDomain: r.settings.FailureDomain}); err != nil {
		r.settings.Log.Debug().Err(err).Str("Companion", conn.Peer()).Msg("requesting the companion's state failed")
	}
}
