package attendant

import (
	"math/bits"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// cachedTold is the number of prompt parts that an entry is told of at first: those
// that are used again lie among the last used.
const cachedTold = 40

// tell tells the entries of an audience of the engine's state when it has changed: the
// whole to those that know nothing yet, and to the others what has changed since the
// last word. The whole each time, as a JSON object, was half of what went between
// failure domains at 25 entries before 46 engines.
func (a *Attendant) tell(u *audience) {
	for a.pause(a.settings.PublishInterval) {
		for _, t := range a.news(u) {
			if len(t.entries) == 0 {
				continue
			}
			params, err := messenger.EncodeNotice(t.state)
			if err != nil {
				a.settings.Log.Error().Err(err).Msg("state not told")
				continue
			}
			for _, conn := range t.entries {
				// An entry whose connection broke is forgotten, and told the whole on
				// its next one.
				_ = conn.Notify(a.root, messenger.MethodState, params)
			}
		}
	}
}

// telling is a state and the entries that are to be told it.
type telling struct {
	state   placer.EngineState
	entries []*messenger.Conn
}

// change notes that there is something to tell. The caller holds mu.
func (a *Attendant) change() {
	a.near.changed, a.far.changed = true, true
}

// spread hands what happened since the last call to both audiences. The caller holds mu.
func (a *Attendant) spread() {
	for _, u := range []*audience{a.near, a.far} {
		u.left = append(u.left, a.left...)
		u.read = append(u.read, a.book.fresh...)
		if len(u.conns) == 0 {
			u.left, u.read, u.whole = nil, nil, true
		}
	}
	a.left, a.book.fresh = nil, nil
}

// news returns what there is to tell an audience, and whom.
func (a *Attendant) news(u *audience) []telling {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !u.changed || a.table == nil {
		return nil
	}
	a.spread()
	if len(u.conns) == 0 {
		return nil
	}
	now := a.settings.Now()
	if !u.whole && now.Sub(u.toldAt) < placer.TellingInterval(a.settings.PublishInterval, len(u.conns), u == a.near) {
		// One that comes in between is told at once what the others know: what they are
		// told next builds on that.
		return []telling{{state: u.told, entries: u.ignorant()}}
	}
	whole := a.wholeState()
	news := u.news(&whole)
	if !u.worth(now, &whole, &news) {
		u.changed = false
		return []telling{{state: u.told, entries: u.ignorant()}}
	}
	whole.Sequence = u.told.Sequence + 1
	news.Sequence = whole.Sequence
	if u.whole {
		news = whole
	}
	u.note(now, &whole)
	knowing := u.take(true)
	return []telling{{state: news, entries: knowing}, {state: whole, entries: u.ignorant()}}
}

// wholeState returns all that there is to tell. The caller holds mu.
func (a *Attendant) wholeState() placer.EngineState {
	s := placer.EngineState{
		Name: a.settings.Name, Incarnation: a.incarnation, Life: a.life, Whole: true,
		Running: len(a.guests), BacklogMillis: a.backlog(), WaitingMillis: a.waitingRead(),
		Entries: len(a.near.conns) + len(a.far.conns), MaxAdapters: a.table.Slots(),
		Recent: slices.Clone(a.recent), Cached: a.book.newest(nil, cachedTold),
	}
	for _, m := range a.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		s.Adapters = append(s.Adapters, placer.AdapterState{
			Name: adapterName(model, adapter), Version: version,
			Loading: r.Phase != loader.PhaseResident, Pins: roughly(r.Pins + r.Waiters),
		})
	}
	return s
}

// roughly rounds a number of requests down to a power of two: whether a slot is in use
// moves a choice, and whether a few or many share it.
func roughly(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}
