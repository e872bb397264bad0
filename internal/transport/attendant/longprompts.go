package attendant

import (
	"maps"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// longPrompts measures the share of time that the engine spends on long prefills. Its fields are
// guarded by Attendant.mu.
type longPrompts struct {
	share separator.Share
	// routing is the configuration, and service the service, that limits were derived from.
	routing *tracker.Routing
	service string
	limits  separator.Limits
}

// recordLongPrompt records the prefill of an admitted request by its time at the usual speed. The
// caller holds mu.
func (a *Attendant) recordLongPrompt(now time.Time, usual time.Duration) {
	view := a.settings.View()
	member, known := view.Member(a.settings.Name)
	if !known || view.Routing == nil {
		return
	}
	if l := &a.longPrompts; l.routing != view.Routing || l.service != member.Spec.Service {
		l.routing, l.service = view.Routing, member.Spec.Service
		l.limits = separator.NewLimits(view.Routing, member.Spec.Service)
	}
	if a.longPrompts.limits.IsLong(usual) {
		a.longPrompts.share.Add(now, estimator.Scale(usual, a.speed.Factor(now)))
	}
}

// publishLongPrompts notifies the entries of a group of the share of long prefills.
func (a *Attendant) publishLongPrompts(group *subscriberGroup) {
	state, entries := a.longPromptUpdate(group)
	if len(entries) == 0 {
		return
	}
	params, err := messenger.EncodeNotice(state)
	if err != nil {
		a.settings.Log.Error().Err(err).Msg("could not encode the share of long prefills")
		return
	}
	for _, conn := range entries {
		// An entry whose connection failed gets the share on its next connection.
		_ = conn.Notify(a.root, messenger.MethodLongPromptState, params)
	}
}

// longPromptUpdate returns the share of long prefills and the connections that it is to be sent to,
// and records that they have got it.
func (a *Attendant) longPromptUpdate(group *subscriberGroup) (placer.LongPromptState, []*messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	s := placer.LongPromptState{Name: a.settings.Name, Incarnation: a.incarnation, SharePercent: a.longPrompts.share.Percent(now)}
	if a.incarnation == "" || a.settings.LongPrompts != separator.ModeSeparate {
		return s, nil
	}
	a.metrics.longPrompts.Set(a.longPrompts.share.At(now))
	maps.DeleteFunc(group.longPrompts, func(conn *messenger.Conn, _ separator.Reported) bool {
		_, subscribed := group.conns[conn]
		return !subscribed
	})
	var conns []*messenger.Conn
	for conn := range group.conns {
		if r := group.longPrompts[conn]; r.Due(now, a.incarnation, s.SharePercent) {
			group.longPrompts[conn] = r
			conns = append(conns, conn)
		}
	}
	return s, conns
}
