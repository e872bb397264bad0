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
	// enlistInterval is the time between two looks whether this host has its
	// vote, and between two tries to get it. Three tries fit into a second, so
	// that the change of a lost host takes little more than the transfer of the
	// state.
	enlistInterval = 300 * time.Millisecond
	// enlistTimeout bounds one try; the transfer of the state goes on after it.
	enlistTimeout = time.Second
	// unheardLimit is the time without a leader's word after which a voter asks
	// whether it still is one. It lies above two elections, so that a group that
	// only changes its leader is not asked.
	unheardLimit = 2 * time.Second
	// changeTimeout bounds one change of the membership by the leader.
	changeTimeout = 3 * time.Second
)

// Enlist keeps this host a voter of the group: it asks the control hosts that it
// knows until it is one, and again when it may have been removed. It returns
// when the host closes.
//
// A host that was removed while it was cut off hears nothing that tells it: it
// would stay without a vote for good, and the next loss would stop the group.
func (c *Control) Enlist() {
	for c.pause(enlistInterval) {
		if c.voting() {
			continue
		}
		for _, address := range c.reachableHosts() {
			err := c.askToEnlist(address)
			if err == nil {
				break
			}
			c.settings.Log.Debug().Err(err).Str("Host", address).Msg("not enlisted yet")
		}
	}
}

// voting reports whether this host votes and hears of a leader.
func (c *Control) voting() bool {
	s := c.agreement.Status()
	self, member := replicator.Configuration{Members: s.Members}.Find(s.Self)
	if s.Formation == 0 && !c.settings.Control.Join {
		// The group is still to be formed, by this host among others.
		return true
	}
	return member && self.Voter && self.Incarnation == s.Incarnation && c.agreement.LeaderContact() < unheardLimit
}

// reachableHosts returns the addresses of other control hosts, members of the
// group first.
func (c *Control) reachableHosts() []string {
	addresses := c.others()
	for _, h := range c.links.hosts() {
		if h != c.settings.Control.Listen && !slices.Contains(addresses, h) {
			addresses = append(addresses, h)
		}
	}
	return addresses
}

func (c *Control) askToEnlist(address string) error {
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
		TimeoutMillis: remaining(ctx),
	}, &group)
	if err != nil {
		return errors.Trace(err)
	}
	c.learnHosts(group)
	return nil
}

// learnHosts takes in where the group's hosts are.
func (c *Control) learnHosts(g distributor.Group) {
	var members []replicator.Member
	for _, h := range g.Hosts {
		members = append(members, replicator.Member{ID: replicator.HostID(h.ID), Address: h.Address})
	}
	c.links.learn(members)
}

// enlist serves MethodEnlist: the leader begins to take the host in, and the
// answer tells of the group as it is now.
func (c *Control) enlist(ctx context.Context, e distributor.Enlistment) (answer distributor.Group, err error) {
	ctx, cancel := bounded(ctx, e.TimeoutMillis)
	defer cancel()
	err = c.atLeader(ctx, e.Forwarded, func(context.Context) error {
		if d := c.currentDuties(); d != nil {
			d.takeIn(e) //nolint:contextcheck // The change outlives the call, which is repeated.
		}
		answer = c.describe()
		return nil
	}, func(ctx context.Context, conn *messenger.Conn) error {
		e.Forwarded, e.TimeoutMillis = true, remaining(ctx)
		return conn.Call(ctx, messenger.MethodEnlist, e, &answer)
	})
	return answer, err
}

// takeIn begins to make a host a voter, unless a change is under way: the host
// asks again.
func (d *duties) takeIn(e distributor.Enlistment) {
	if d.ctx.Err() != nil || !d.changing.TryLock() {
		return
	}
	d.workers.Go(func() {
		defer d.changing.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, changeTimeout)
		defer cancel()
		err := d.makeVoter(ctx, e)
		d.logChange(err).Uint64("Host", e.Host.ID).Str("Address", e.Host.Address).Msg("a control host enlists")
		if err == nil {
			d.dismissSilent(ctx)
		}
	})
}

// makeVoter adds the host, and first removes the one whose number it bears where
// that one's disk is lost: the votes and acknowledgements of the old disk must
// not be taken for the new one's.
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

// dismissSilent removes voters that are silent, as long as there are more than
// the group wants. A host that is only cut off keeps its vote where nobody has
// taken its place, and enlists again where somebody has.
func (d *duties) dismissSilent(ctx context.Context) {
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
		d.logChange(err).Uint64("Host", uint64(s.Silent[0])).Msg("a silent control host is removed")
		if err != nil {
			return
		}
	}
}

// review is dismissSilent for the leader's tick.
func (d *duties) review() {
	if d.control.settings.Control.WantedVoters == 0 || len(d.control.agreement.Status().Silent) == 0 || !d.changing.TryLock() {
		return
	}
	d.workers.Go(func() {
		defer d.changing.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, changeTimeout)
		defer cancel()
		d.dismissSilent(ctx)
	})
}

func (d *duties) logChange(err error) *zerolog.Event {
	log := d.control.settings.Log
	if err != nil {
		return log.Warn().Err(err)
	}
	return log.Info()
}
