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

// ErrNoLeaderContact is returned by a host that may be partitioned from the leader. The
// sender should retry at another host.
const ErrNoLeaderContact = errors.ConstError("this control host is not in touch with a leader")

// maxLeaderContactAge is the maximum knowledge age at which this host acknowledges
// heartbeats: two pulse intervals of a leader, with time for one pulse to be late. A
// partitioned host can't pass heartbeats on to the leader; if it acknowledged them, the
// lease of a healthy backend server would expire.
const maxLeaderContactAge = time.Second

// Announce processes an announcement or heartbeat of a backend server. A heartbeat
// without changes only renews the lease. Everything else is committed to the log before
// Announce returns, and is then distributed to every entry.
func (c *Control) Announce(ctx context.Context, m storer.MemberSpec) error {
	name := MemberName(m.Address)
	if r, ok := c.store.Get(storer.Key{Kind: storer.KindMember, Name: name}); ok {
		held := r.Spec.(storer.MemberSpec)
		m.Epoch = held.Epoch
		late := !c.lastHeartbeats.observe(name, m.Incarnation, m.Sequence)
		leaveInForce := held.Incarnation == m.Incarnation && held.State == storer.MemberStateLeaving
		// A reordered heartbeat must not renew the lease, since its sender may have
		// ended. A reordered leave that is not in force here is proposed, so that it is
		// not acknowledged without effect.
		if late && (m.State == storer.MemberStateServing || leaveInForce) {
			c.settings.Log.Info().Str("Backend", name).Stringer("State", m.State).Uint64("Sequence", m.Sequence).Msg("ignored a reordered heartbeat")
			return nil
		}
		if held.Equivalent(m) {
			return c.renewAnnouncedLease(name, held.Epoch)
		}
		m.Epoch = 0
	}
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.AnnounceMember{Name: name, Member: m}})
	switch {
	case err != nil:
		return err
	case result.Verdict == storer.VerdictStale:
		// A late message of an incarnation that has ended.
		c.settings.Log.Info().Str("Backend", name).Str("Incarnation", m.Incarnation).Stringer("State", m.State).Msg("ignored an announcement of an ended incarnation")
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

func (c *Control) renewAnnouncedLease(name string, epoch uint64) error {
	if age, ok := c.knowledgeAge(); !ok || age > maxLeaderContactAge {
		return ErrNoLeaderContact
	}
	c.relay.renew(nil, registrar.LeaseRenewal{Name: name, Epoch: epoch})
	return nil
}

// Retire ends an incarnation of a backend server or, if r has an instance, all
// incarnations of it that have a membership. The command is committed to the log before
// Retire returns, even if this host finds no membership: its lease may have expired, or
// this host may not have applied its announcement yet.
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
		c.settings.Log.Info().Str("Incarnation", r.Incarnation).Str("Reason", result.Reason).Msg("retired backend server had no membership")
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

// MemberName returns the member name of the backend server at address, an IP:port.
func MemberName(address string) string { return strings.ReplaceAll(address, ":", "-") }
