package attendant

import (
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// audience are entries that are told of the engine at the same moments. It is guarded
// by the attendant's lock.
type audience struct {
	// conns are the entries' connections, true once they know what was told last.
	conns map[*messenger.Conn]bool
	// changed tells that there is something to tell, and whole that it does not build on
	// what was told before.
	changed bool
	whole   bool
	// told is the last whole state that the entries know, of toldAt, and slots its
	// slots by name; its sequence is 0 before the first.
	told   placer.EngineState
	slots  map[string]placer.AdapterState
	toldAt time.Time
	// left are the adapters that left their slots since, and read the prompt parts that
	// were read since.
	left []string
	read []uint32
}

func newAudience() *audience {
	return &audience{whole: true, conns: make(map[*messenger.Conn]bool), slots: make(map[string]placer.AdapterState)}
}

// add has an entry told the whole next.
func (u *audience) add(conn *messenger.Conn) {
	u.conns[conn] = false
	u.changed = true
}

// renew has all told the whole anew.
func (u *audience) renew() { u.changed, u.whole = true, true }

// ignorant returns the entries that do not know what was told last, and counts them as
// told.
func (u *audience) ignorant() []*messenger.Conn {
	return u.take(false)
}

// take returns the entries that know, or that don't, and counts them as told.
func (u *audience) take(knows bool) []*messenger.Conn {
	var conns []*messenger.Conn
	for conn, known := range u.conns {
		if known == knows {
			conns = append(conns, conn)
		}
	}
	for _, conn := range conns {
		u.conns[conn] = true
	}
	return conns
}

// news returns what differs in a whole state from the one told last.
func (u *audience) news(whole *placer.EngineState) placer.EngineState {
	s := placer.EngineState{
		Running: whole.Running, BacklogMillis: whole.BacklogMillis, WaitingMillis: whole.WaitingMillis,
		Recent: u.left, Cached: u.read,
	}
	if whole.Incarnation != u.told.Incarnation {
		s.Incarnation = whole.Incarnation
	}
	if !slices.Equal(whole.Models, u.told.Models) {
		s.Models = whole.Models
	}
	if whole.Entries != u.told.Entries {
		s.Entries = whole.Entries
	}
	held := make(map[string]struct{}, len(whole.Adapters))
	for _, adapter := range whole.Adapters {
		held[adapter.Name] = struct{}{}
		if u.slots[adapter.Name] != adapter {
			s.Adapters = append(s.Adapters, adapter)
		}
	}
	for name := range u.slots {
		if _, ok := held[name]; !ok {
			s.Gone = append(s.Gone, name)
		}
	}
	return s
}

const (
	// leastRunning and leastTime are the least differences in requests and in time to
	// read that are told by themselves: smaller ones move no choice.
	leastRunning = 4
	leastTime    = 25 * time.Millisecond
)

// worth reports whether there is anything in the news that moves a choice. Half of the
// changes are requests that end.
func (u *audience) worth(now time.Time, whole, news *placer.EngineState) bool {
	backlog := max(0, u.told.BacklogMillis-int(now.Sub(u.toldAt).Milliseconds()))
	return u.whole || len(news.Adapters)+len(news.Gone)+len(news.Recent)+len(news.Cached)+len(news.Models)+news.Entries > 0 ||
		news.Incarnation != "" ||
		apart(whole.Running, u.told.Running, leastRunning) ||
		apart(whole.BacklogMillis, backlog, int(leastTime.Milliseconds())) ||
		apart(whole.WaitingMillis, u.told.WaitingMillis, int(leastTime.Milliseconds()))
}

func apart(x, y, least int) bool { return max(x-y, y-x) >= least }

// note remembers what the entries know from now on.
func (u *audience) note(now time.Time, whole *placer.EngineState) {
	u.told, u.toldAt = *whole, now
	clear(u.slots)
	for _, adapter := range whole.Adapters {
		u.slots[adapter.Name] = adapter
	}
	u.left, u.read, u.changed, u.whole = nil, nil, false, false
}
