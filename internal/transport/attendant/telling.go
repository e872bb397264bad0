package attendant

import (
	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// cachedTold is the number of prompt parts told of: those that are used again lie
// among the last used.
const cachedTold = 40

// tell tells the entries of the engine's state when it has changed.
func (a *Attendant) tell() {
	for a.pause(a.settings.TellInterval) {
		state, watchers := a.news()
		for _, conn := range watchers {
			// An entry that misses it is told of the next; one whose connection
			// broke is forgotten.
			_ = conn.Notify(a.root, messenger.MethodState, state)
		}
	}
}

// news returns the state and whom to tell, or nobody.
func (a *Attendant) news() (messenger.BackendState, []*messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.changed || a.table == nil || len(a.watchers) == 0 {
		return messenger.BackendState{}, nil
	}
	a.changed = false
	a.sequence++
	s := messenger.BackendState{
		Name: a.settings.Name, Incarnation: a.incarnation, Life: a.life, Sequence: a.sequence,
		Running: len(a.guests), BacklogMillis: a.backlog(),
		AdapterSlots: a.table.Slots(),
		Recent:       append([]string(nil), a.recent...),
		Cached:       a.book.newest(nil, cachedTold),
	}
	for _, m := range a.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		s.Adapters = append(s.Adapters, messenger.AdapterState{
			Name: adapterName(model, adapter), Version: version,
			Loading: r.Phase != loader.PhaseResident, Pins: r.Pins + r.Waiters,
		})
	}
	watchers := make([]*messenger.Conn, 0, len(a.watchers))
	for conn := range a.watchers {
		watchers = append(watchers, conn)
	}
	return s, watchers
}
