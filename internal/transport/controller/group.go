package controller

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// group serves MethodGroup: it changes the control group through its leader, or returns
// the group as this host sees it.
func (c *Control) group(ctx context.Context, g distributor.GroupChange) (answer distributor.Group, err error) {
	if g.Action == distributor.GroupShow {
		return c.describeGroup(), nil
	}
	ctx, cancel := bounded(ctx, g.TimeoutMillis)
	defer cancel()
	err = c.onLeader(ctx, g.Forwarded, func(ctx context.Context) error {
		if err := c.changeGroup(ctx, g); err != nil {
			return err
		}
		answer = c.describeGroup()
		return nil
	}, func(ctx context.Context, conn *messenger.Conn) error {
		g.Forwarded, g.TimeoutMillis = true, remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodGroup, g, &answer)
	})
	return answer, err
}

func (c *Control) changeGroup(ctx context.Context, g distributor.GroupChange) error {
	var err error
	switch g.Action {
	case distributor.GroupAdd:
		err = c.agreement.AddMember(ctx, replicator.Member{
			ID:            replicator.HostID(g.Host.ID),
			Address:       g.Host.Address,
			FailureDomain: g.Host.FailureDomain,
			Voter:         g.Host.Voter,
		})
	case distributor.GroupRemove:
		err = c.agreement.RemoveMember(ctx, replicator.HostID(g.Host.ID))
	case distributor.GroupTransfer:
		err = c.agreement.TransferLeadership(ctx)
	default:
		return messenger.NewRefusal(messenger.ReasonMalformed, "unknown action")
	}
	var refused replicator.ErrChangeRefused
	if errors.As(err, &refused) {
		return messenger.NewRefusal(messenger.ReasonOverloaded, refused.Reason)
	}
	return err
}

// describeGroup returns the group as this host sees it.
func (c *Control) describeGroup() distributor.Group {
	s := c.agreement.Status()
	g := distributor.Group{
		Host: c.settings.Node, Leader: uint64(s.Leader), Term: s.Term,
		Commit: s.Commit, Applied: s.Applied, Revision: c.store.Revision(),
	}
	for _, m := range s.Members {
		g.Hosts = append(g.Hosts, distributor.GroupHost{
			ID: uint64(m.ID), Address: m.Address, FailureDomain: m.FailureDomain, Voter: m.Voter,
		})
	}
	return g
}
