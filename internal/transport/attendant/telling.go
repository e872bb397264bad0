package attendant

import (
	"maps"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// cachedTold is the number of prompt parts that an entry is told of at first: those
// that are used again lie among the last used.
const cachedTold = 40

// tell tells the entries of the engine's state when it has changed: the whole to
// those that know nothing yet, and to the others what is new. The whole each time
// was most of what went between failure domains on a calm day.
func (a *Attendant) tell() {
	for a.pause(a.settings.TellInterval) {
		whole, news, watchers := a.news()
		for conn, told := range watchers {
			state := news
			if !told {
				state = whole
			}
			// An entry whose connection broke is forgotten, and told the whole on its
			// next one.
			_ = conn.Notify(a.root, messenger.MethodState, state)
		}
	}
}

// news returns the whole state, what is new of it, and whom to tell.
func (a *Attendant) news() (whole, news placer.EngineState, watchers map[*messenger.Conn]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.changed || a.table == nil || len(a.watchers) == 0 {
		return whole, news, nil
	}
	a.changed = false
	a.sequence++
	news = placer.EngineState{
		Name: a.settings.Name, Incarnation: a.incarnation, Life: a.life, Sequence: a.sequence,
		Running: len(a.guests), BacklogMillis: a.backlog(),
		Entries:     len(a.watchers),
		MaxAdapters: a.table.Slots(),
		Recent:      a.left,
		Cached:      a.book.fresh,
	}
	a.left, a.book.fresh = nil, nil
	for _, m := range a.report.Models {
		news.Models = append(news.Models, m.Name)
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		news.Adapters = append(news.Adapters, placer.AdapterState{
			Name: adapterName(model, adapter), Version: version,
			Loading: r.Phase != loader.PhaseResident, Pins: r.Pins + r.Waiters,
		})
	}
	whole = news
	whole.Whole = true
	whole.Recent = slices.Clone(a.recent)
	whole.Cached = a.book.newest(nil, cachedTold)
	watchers = maps.Clone(a.watchers)
	for conn := range a.watchers {
		a.watchers[conn] = true
	}
	return whole, news, watchers
}
