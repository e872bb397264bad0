package starter

import (
	"cmp"
	"net/netip"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/announcer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// handleAnnouncement processes the announcement of a backend server. The first one that
// is compatible with the settings starts the companion. Later ones of the same backend
// server change nothing, except that a new incarnation makes the companion read the
// engine's state at once. Refusals are of type *announcer.Answer.
func (p *Process) handleAnnouncement(a announcer.Announcement) error {
	p.companionMu.Lock()
	defer p.companionMu.Unlock()
	// Close stops what is running. A companion started afterwards would hold its address
	// and its membership permanently.
	if p.stopping.Load() || p.runCtx.Err() != nil {
		return &announcer.Answer{Reason: announcer.ReasonUnavailable, Detail: "the process is ending"}
	}
	m, err := mergeAnnouncement(p.companionSettings, a)
	if err != nil {
		return err
	}
	switch {
	case p.companion == nil:
		if err := p.runCompanion(m); err != nil {
			p.fail(errors.Annotate(err, "starting the announced companion"))
			return errors.Annotate(err, "starting the companion")
		}
		p.settings.Log.Info().Str("Address", a.Address).Stringer("Kind", a.Kind).Str("Incarnation", a.Incarnation).
			Msg("backend server announced itself")
	case p.incarnation != a.Incarnation:
		p.companion.RefreshEngineState()
	}
	p.incarnation = a.Incarnation
	return nil
}

// mergeAnnouncement returns the companion's settings completed by an announcement, or an
// *announcer.Answer if the two contradict each other. Settings take precedence. Fencing
// is enabled only if both state that the engine checks it: the operator is responsible
// for the guarantee that no order in flight can still take effect.
func mergeAnnouncement(m configurer.CompanionSettings, a announcer.Announcement) (configurer.CompanionSettings, error) {
	address := m.BackendAddress()
	switch {
	case m.Kind != a.Kind:
		return m, announcer.Conflict(announcer.FieldKind, "the companion stands beside a backend server of kind "+m.Kind.String())
	case address != "" && address != a.Address:
		return m, announcer.Conflict(announcer.FieldAddress, "the companion stands beside the backend server at "+address)
	case m.BaseModel != "" && a.Kind == configurer.BackendKindEngine && m.BaseModel != a.BaseModel:
		return m, announcer.Conflict(announcer.FieldBaseModel, "the companion stands beside an engine with "+m.BaseModel)
	case m.ServiceName != "" && a.Kind == configurer.BackendKindService && m.ServiceName != a.Service:
		return m, announcer.Conflict(announcer.FieldService, "the companion stands beside the service "+m.ServiceName)
	case address != "":
		return m, nil
	}
	m.MaxBatch = cmp.Or(m.MaxBatch, a.MaxBatch)
	if a.Kind == configurer.BackendKindService {
		m.ServiceAddress, m.ServiceName = a.Address, a.Service
		return m, nil
	}
	ip, err := netip.ParseAddrPort(a.Address)
	if err != nil || !m.ChecksFencing && !ip.Addr().IsLoopback() {
		return m, announcer.Conflict(announcer.FieldAddress, "not on the loopback, which an engine needs unless Companion.ChecksFencing is set")
	}
	m.ChecksFencing = m.ChecksFencing && a.ChecksFencing
	m.EngineAddress, m.BaseModel = a.Address, a.BaseModel
	m.Slots = cmp.Or(m.Slots, a.Slots)
	return m, nil
}
