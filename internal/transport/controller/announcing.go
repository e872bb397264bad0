package controller

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ErrNoLeaderContact tells that this host can't be sure of what is in force: the
// sender should ask another one.
const ErrNoLeaderContact = errors.ConstError("this control host is not in touch with a leader")

// certainLimit is the age of this host's knowledge up to which it takes
// heartbeats: two of a leader's pulses, and time for one to be late. A heartbeat
// taken by a host that is cut off reaches no leader, and the lease of a backend
// server that is well would run out.
const certainLimit = time.Second

// Announce takes a backend server's word that it is there. A heartbeat that
// brings nothing new only renews the lease; all else is accepted through the log
// before Announce returns, and then reaches every entry.
func (c *Control) Announce(ctx context.Context, m storer.MemberSpec) error {
	name := MemberName(m.Address)
	if r, ok := c.store.Get(storer.Key{Kind: storer.KindMember, Name: name}); ok {
		held := r.Spec.(storer.MemberSpec)
		m.Epoch = held.Epoch
		late := !c.heard.note(name, m.Incarnation, m.Sequence)
		leaveInForce := held.Incarnation == m.Incarnation && held.State == storer.MemberStateLeaving
		// A late message must not renew the lease, since its sender may have ended. A late leave
		// that is not in force here is proposed, so that it is not acknowledged without effect.
		if late && (m.State == storer.MemberStateServing || leaveInForce) {
			c.settings.Log.Info().Str("Backend", name).Stringer("State", m.State).Uint64("Sequence", m.Sequence).Msg("late heartbeat passed over")
			return nil
		}
		if held.SameBut(m) {
			return c.renewAnnounced(name, held.Epoch)
		}
		m.Epoch = 0
	}
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.AnnounceMember{Name: name, Member: m}})
	switch {
	case err != nil:
		return err
	case result.Verdict == storer.VerdictStale:
		// A late message of a life that has ended: its sender is gone.
		c.settings.Log.Info().Str("Backend", name).Str("Incarnation", m.Incarnation).Stringer("State", m.State).Msg("late announcement passed over")
		return nil
	case result.Verdict != storer.VerdictAccepted:
		return errors.NotValidf("announcement: %s", result.Reason)
	}
	kind := recorder.KindMemberJoined
	if m.State == storer.MemberStateLeaving {
		kind = recorder.KindMemberLeaving
	}
	c.recordBackend(kind, name, "%s of %s", m.Incarnation, m.Service)
	c.settings.Log.Info().Str("Backend", name).Str("Incarnation", m.Incarnation).Str("Service", m.Service).
		Stringer("State", m.State).Uint64("Revision", result.Revision).Msg("backend server announced")
	return nil
}

func (c *Control) renewAnnounced(name string, epoch uint64) error {
	if age, ok := c.freshness(); !ok || age > certainLimit {
		return ErrNoLeaderContact
	}
	c.relay.renew(nil, registrar.LeaseRenewal{Name: name, Epoch: epoch})
	return nil
}

// Retire ends an incarnation of a backend server or, if r has an instance, all incarnations
// of it that have a membership. The command is accepted through the log before Retire
// returns, even if this host finds no membership: its lease may have expired, or its
// announcement may not have been applied here yet.
func (c *Control) Retire(ctx context.Context, r storer.RetireMember) error {
	members, _ := c.store.List(storer.KindMember, "")
	for _, m := range members {
		if spec := m.Spec.(storer.MemberSpec); r.Ends(spec) {
			r.Name, r.Incarnation = m.Metadata.Name, spec.Incarnation
			break
		}
	}
	result, err := c.Propose(ctx, storer.Envelope{Command: r})
	if err != nil {
		return err
	}
	if result.Verdict != storer.VerdictAccepted {
		c.settings.Log.Info().Str("Incarnation", r.Incarnation).Str("Reason", result.Reason).Msg("backend server retired without a membership")
		return nil
	}
	if result.Resource != nil {
		// r.Name is empty if this host has not applied the announcement yet.
		r.Name = result.Resource.Metadata.Name
	}
	c.recordBackend(recorder.KindMemberEnded, r.Name, "%s", r.Incarnation)
	c.settings.Log.Info().Str("Backend", r.Name).Str("Incarnation", r.Incarnation).Msg("backend server retired")
	return nil
}

// MemberName returns the name of the backend server at an address, IP:port.
func MemberName(address string) string { return strings.ReplaceAll(address, ":", "-") }
