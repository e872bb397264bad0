package attendant

import (
	"maps"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// subscriberGroup is a set of entries that get the engine's state at the same times. It is
// guarded by Attendant.mu.
type subscriberGroup struct {
	// conns holds the entries' connections; the value is true once the connection has got
	// the last published state.
	conns map[*messenger.Conn]bool
	// changed reports whether there may be an update to publish, and full whether it must
	// be the full state instead of the changes.
	changed bool
	full    bool
	// published is the last full state that the entries can derive, as of publishedAt, and
	// slots its adapters by name. Its sequence is 0 before the first publication.
	published   placer.EngineState
	slots       map[string]placer.AdapterState
	publishedAt time.Time
	// newlyEvicted are the adapters that have left their slots since publishedAt, and
	// newlyCached the hashes of the prompt parts that have been prefilled since.
	newlyEvicted []string
	newlyCached  []uint32
	// limits holds the last state of the engine's limit that each connection has got.
	limits map[*messenger.Conn]publishedLimit
	// speeds holds what each connection has got of the speed of the engine's machine.
	speeds map[*messenger.Conn]publishedSpeed
	// longPrompts holds the last report of the share of long prefills to each connection.
	longPrompts map[*messenger.Conn]separator.Reported
	cache       publishedCache
}

// publishedLimit is a state of the engine's limit, published at the time at. The zero value
// stands for none.
type publishedLimit struct {
	state placer.LimitState
	at    time.Time
}

// outdated reports whether a state has to replace the published one. Entries expect the wait
// to shorten as time passes; a different one is published after interval.
func (l *publishedLimit) outdated(now time.Time, s placer.LimitState, interval time.Duration) bool {
	if s.Named != l.state.Named || s.Named && (s.Rate != l.state.Rate || s.Incarnation != l.state.Incarnation) {
		return true
	}
	passed := now.Sub(l.at)
	expected := max(0, l.state.WaitMillis-int(passed.Milliseconds()))
	return passed >= interval && differs(s.WaitMillis, expected, int(minTimeChange.Milliseconds()))
}

// limitReceivers returns the connections that are to get a state of the engine's limit, and
// records that they have.
func (g *subscriberGroup) limitReceivers(now time.Time, s placer.LimitState, interval time.Duration) []*messenger.Conn {
	if !s.Named && len(g.limits) == 0 {
		return nil
	}
	maps.DeleteFunc(g.limits, func(conn *messenger.Conn, _ publishedLimit) bool {
		_, subscribed := g.conns[conn]
		return !subscribed
	})
	var conns []*messenger.Conn
	for conn := range g.conns {
		if l := g.limits[conn]; l.outdated(now, s, interval) {
			conns = append(conns, conn)
			if g.limits[conn] = (publishedLimit{state: s, at: now}); !s.Named {
				delete(g.limits, conn)
			}
		}
	}
	return conns
}

func newSubscriberGroup() *subscriberGroup {
	return &subscriberGroup{
		full: true, conns: make(map[*messenger.Conn]bool), slots: make(map[string]placer.AdapterState), limits: make(map[*messenger.Conn]publishedLimit),
		speeds: make(map[*messenger.Conn]publishedSpeed), longPrompts: make(map[*messenger.Conn]separator.Reported),
	}
}

// add subscribes an entry; it gets the full state first.
func (g *subscriberGroup) add(conn *messenger.Conn) {
	g.conns[conn] = false
	delete(g.limits, conn)
	delete(g.speeds, conn)
	delete(g.longPrompts, conn)
	delete(g.cache.synced, conn)
	g.changed = true
}

// requireFull makes the next update a full state for all entries.
func (g *subscriberGroup) requireFull() { g.changed, g.full = true, true }

// takeUnsynced returns the connections that have not got the last published state, and
// marks them as synced.
func (g *subscriberGroup) takeUnsynced() []*messenger.Conn {
	return g.takeConns(false)
}

// takeConns returns the connections that have got the last published state, or those that
// have not, and marks them as synced.
func (g *subscriberGroup) takeConns(synced bool) []*messenger.Conn {
	var conns []*messenger.Conn
	for conn, connSynced := range g.conns {
		if connSynced == synced {
			conns = append(conns, conn)
		}
	}
	for _, conn := range conns {
		g.conns[conn] = true
	}
	return conns
}

// changes returns the differences between a full state and the published one.
func (g *subscriberGroup) changes(full *placer.EngineState) placer.EngineState {
	s := placer.EngineState{
		Running: full.Running, BacklogMillis: full.BacklogMillis, WaitingMillis: full.WaitingMillis,
		Recent: g.newlyEvicted, Cached: g.newlyCached,
	}
	if full.Incarnation != g.published.Incarnation {
		s.Incarnation = full.Incarnation
	}
	if !slices.Equal(full.Models, g.published.Models) {
		s.Models = full.Models
	}
	held := make(map[string]struct{}, len(full.Adapters))
	for _, adapter := range full.Adapters {
		held[adapter.Name] = struct{}{}
		if g.slots[adapter.Name] != adapter {
			s.Adapters = append(s.Adapters, adapter)
		}
	}
	for name := range g.slots {
		if _, ok := held[name]; !ok {
			s.Gone = append(s.Gone, name)
		}
	}
	return s
}

const (
	// minRunningChange and minTimeChange are the smallest changes in the number of requests
	// and in prefill time that are published on their own; smaller ones do not affect the
	// choice of an engine.
	minRunningChange = 4
	minTimeChange    = 25 * time.Millisecond
)

// significant reports whether the changes can affect the choice of an engine. Half of all
// changes are ends of requests, most of which can't.
func (g *subscriberGroup) significant(now time.Time, full, changes *placer.EngineState) bool {
	backlog := max(0, g.published.BacklogMillis-int(now.Sub(g.publishedAt).Milliseconds()))
	return g.full || len(changes.Adapters)+len(changes.Gone)+len(changes.Recent)+len(changes.Cached)+len(changes.Models) > 0 ||
		changes.Incarnation != "" ||
		differs(full.Running, g.published.Running, minRunningChange) ||
		differs(full.BacklogMillis, backlog, int(minTimeChange.Milliseconds())) ||
		differs(full.WaitingMillis, g.published.WaitingMillis, int(minTimeChange.Milliseconds()))
}

func differs(x, y, least int) bool { return max(x-y, y-x) >= least }

// recordPublished records the state that the entries have from now on.
func (g *subscriberGroup) recordPublished(now time.Time, full *placer.EngineState) {
	g.published, g.publishedAt = *full, now
	clear(g.slots)
	for _, adapter := range full.Adapters {
		g.slots[adapter.Name] = adapter
	}
	g.newlyEvicted, g.newlyCached, g.changed, g.full = nil, nil, false, false
}
