package controller

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

const (
	// enlistInterval is the time between two checks whether this host is a voter, and
	// between two attempts to become one. Three attempts fit into a second, so that
	// replacing a lost host takes little longer than the transfer of the state.
	enlistInterval = 300 * time.Millisecond
	// enlistTimeout bounds one attempt; the transfer of the state continues after it.
	enlistTimeout = time.Second
	// maxLeaderSilence is the time without contact from a leader after which a voter
	// enlists again. It exceeds two elections, so that a change of leader does not
	// trigger it.
	maxLeaderSilence = 2 * time.Second
	// changeTimeout bounds one membership change by the leader.
	changeTimeout = 3 * time.Second
)

// Enlist keeps this host a voter of the group: it polls the known control hosts until it
// is one, and again whenever it may have been removed. It returns when the host is
// closed.
//
// A host that was removed while it was partitioned receives no message about it. Without
// Enlist it would stay without a vote, and the next loss would stop the group.
func (c *Control) Enlist() {
	for c.pause(enlistInterval) {
		if c.isActiveVoter() {
			continue
		}
		for _, address := range c.reachableHosts() {
			err := c.requestEnlistment(address)
			if err == nil {
				break
			}
			c.settings.Log.Debug().Err(err).Str("Host", address).Msg("enlistment attempt failed")
		}
	}
}

// isActiveVoter reports whether this host is a voter with recent contact to a leader, or
// can't become one now.
func (c *Control) isActiveVoter() bool {
	s := c.agreement.Status()
	self, member := replicator.Configuration{Members: s.Members}.Find(s.Self)
	if s.Suspended {
		// It could not follow, and may not know its incarnation yet.
		return true
	}
	if s.Formation == 0 && !c.settings.Control.Join {
		// The group is not formed yet; this host takes part in forming it.
		return true
	}
	return member && self.Voter && self.Incarnation == s.Incarnation && c.agreement.LeaderContact() < maxLeaderSilence
}

// reachableHosts returns the addresses of the other control hosts, group members first.
func (c *Control) reachableHosts() []string {
	addresses := c.otherHosts()
	for _, h := range c.links.allAddresses() {
		if h != c.settings.Control.Listen && !slices.Contains(addresses, h) {
			addresses = append(addresses, h)
		}
	}
	return addresses
}

func (c *Control) requestEnlistment(address string) error {
	ctx, cancel := context.WithTimeout(c.ctx, enlistTimeout)
	defer cancel()
	conn, err := c.pool.Conn(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	var group distributor.Group
	err = conn.Call(ctx, messenger.MethodEnlist, distributor.Enlistment{
		Host: distributor.GroupHost{
			ID: c.settings.ID, Address: c.settings.Control.Listen, FailureDomain: c.settings.FailureDomain, Voter: true,
		},
		Incarnation:   c.agreement.Status().Incarnation,
		TimeoutMillis: remainingMillis(ctx),
	}, &group)
	if err != nil {
		return errors.Trace(err)
	}
	c.updateHosts(group)
	return nil
}

// updateHosts records the addresses of the group's hosts.
func (c *Control) updateHosts(g distributor.Group) {
	var members []replicator.Member
	for _, h := range g.Hosts {
		members = append(members, replicator.Member{ID: replicator.HostID(h.ID), Address: h.Address})
	}
	c.links.updateMembers(members)
}

// enlist serves MethodEnlist: the leader starts to add the host, and the answer is the
// current group.
func (c *Control) enlist(ctx context.Context, e distributor.Enlistment) (answer distributor.Group, err error) {
	ctx, cancel := bounded(ctx, e.TimeoutMillis)
	defer cancel()
	err = c.onLeader(ctx, e.Forwarded, func(context.Context) error {
		if d := c.currentDuties(); d != nil {
			d.startEnlistment(e) //nolint:contextcheck // The change outlives the call, which the host repeats.
		}
		answer = c.describeGroup()
		return nil
	}, func(ctx context.Context, conn *messenger.Conn) error {
		e.Forwarded, e.TimeoutMillis = true, remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodEnlist, e, &answer)
	})
	return answer, err
}

// startEnlistment starts to make a host a voter, unless another change is in progress;
// the host then retries.
func (d *duties) startEnlistment(e distributor.Enlistment) {
	if d.ctx.Err() != nil || !d.groupChangeMu.TryLock() {
		return
	}
	d.workers.Go(func() {
		defer d.groupChangeMu.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, changeTimeout)
		defer cancel()
		err := d.makeVoter(ctx, e)
		d.logChange(err).Uint64("Host", e.Host.ID).Str("Address", e.Host.Address).Msg("processed the enlistment of a control host")
		if err == nil {
			d.removeSilentVoters(ctx)
		}
	})
}

// makeVoter adds the host as a voter. If a voter with the same ID but another disk
// exists, it is removed first: that disk is lost, and its votes and acknowledgements must
// not be attributed to the new one.
func (d *duties) makeVoter(ctx context.Context, e distributor.Enlistment) error {
	agreement := d.control.agreement
	old, found := replicator.Configuration{Members: agreement.Status().Members}.Find(replicator.HostID(e.Host.ID))
	if found && old.Voter && old.Incarnation != e.Incarnation {
		if err := agreement.RemoveMember(ctx, old.ID); err != nil {
			return errors.Annotate(err, "remove the host's lost disk")
		}
	}
	return errors.Trace(agreement.AddMember(ctx, replicator.Member{
		ID: replicator.HostID(e.Host.ID), Address: e.Host.Address, FailureDomain: e.Host.FailureDomain, Voter: true,
	}))
}

// removeSilentVoters removes voters that are silent, as long as the group has more than
// the wanted number. A host that is only partitioned keeps its vote unless it has been
// replaced, and enlists again if it was.
func (d *duties) removeSilentVoters(ctx context.Context) {
	wanted := d.control.settings.Control.WantedVoters
	if wanted == 0 {
		return
	}
	for {
		s := d.control.agreement.Status()
		if len(s.Silent) == 0 || d.control.voters() <= wanted {
			return
		}
		err := d.control.agreement.RemoveMember(ctx, s.Silent[0])
		d.logChange(err).Uint64("Host", uint64(s.Silent[0])).Msg("removed a silent control host")
		if err != nil {
			return
		}
	}
}

// reviewSilentVoters runs removeSilentVoters from the leader's tick.
func (d *duties) reviewSilentVoters() {
	if d.control.settings.Control.WantedVoters == 0 || len(d.control.agreement.Status().Silent) == 0 || !d.groupChangeMu.TryLock() {
		return
	}
	d.workers.Go(func() {
		defer d.groupChangeMu.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, changeTimeout)
		defer cancel()
		d.removeSilentVoters(ctx)
	})
}

func (d *duties) logChange(err error) *zerolog.Event {
	log := d.control.settings.Log
	if err != nil {
		return log.Warn().Err(err)
	}
	return log.Info()
}
