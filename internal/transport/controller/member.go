package controller

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// join serves MethodJoin.
func (c *Control) join(ctx context.Context, j registrar.JoinRequest) (registrar.Lease, error) {
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.JoinMember(j)})
	if err != nil {
		return registrar.Lease{}, err
	}
	spec, ok := storer.MemberSpec{}, false
	if result.Resource != nil {
		spec, ok = result.Resource.Spec.(storer.MemberSpec)
	}
	switch {
	case result.Verdict == storer.VerdictStale:
		return registrar.Lease{}, messenger.NewRefusal(messenger.ReasonStaleEpoch, result.Reason)
	case result.Verdict != storer.VerdictAccepted || !ok:
		return registrar.Lease{}, messenger.NewRefusal(messenger.ReasonMalformed, result.Reason)
	}
	c.recordBackend(recorder.KindMemberJoined, j.Name, "epoch %d at %s", spec.Epoch, spec.Address)
	return registrar.Lease{Name: j.Name, Epoch: spec.Epoch, Until: time.Duration(c.settings.Control.MemberLease)}, nil
}

// leave serves MethodLeave.
func (c *Control) leave(ctx context.Context, l registrar.LeaveRequest) (distributor.Proposed, error) {
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.LeaveMember(l)})
	if err != nil {
		return distributor.Proposed{}, err
	}
	kind := recorder.KindMemberLeaving
	if l.Ended {
		kind = recorder.KindMemberEnded
	}
	c.recordBackend(kind, l.Name, "epoch %d: %s", l.Epoch, result.Verdict)
	return distributor.Proposed{Result: result}, nil
}

// heartbeat serves MethodRenew.
func (c *Control) heartbeat(conn *messenger.Conn, h registrar.Heartbeat) {
	c.relay.renew(conn, h.LeaseRenewal)
	if h.Report == nil || !c.isCurrentReport(h.Name, h.Epoch) {
		return
	}
	c.board.applyReport(*h.Report)
}

// forwardRenewals sends the renewals of one tick to the leader. A batch that can't be
// sent is dropped: the leader would count its renewals from too late a time, and the next
// heartbeats follow soon.
func (c *Control) forwardRenewals() {
	batch := registrar.RenewBatch{Host: c.settings.Node, FailureDomain: c.settings.FailureDomain, Leases: c.relay.takeRenewals(), Entries: c.entryCount()}
	if d := c.currentDuties(); d != nil {
		c.notifyMembershipEnd(d.renew(batch))
		return
	}
	leader, ok := c.agreement.Leader()
	if !ok || uint64(leader.ID) == c.settings.ID {
		return
	}
	c.relay.sendAsync("renew "+leader.Address, func() {
		ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.settings.Control.MemberLease)/renewalsPerLease)
		defer cancel()
		conn, err := c.pool.Conn(ctx, leader.Address)
		if err != nil {
			return
		}
		var answer registrar.RenewAnswer
		if err := conn.Call(ctx, messenger.MethodRenewBatch, batch, &answer); err != nil {
			c.settings.Log.Debug().Err(err).Str("Leader", leader.Address).Msg("failed to forward lease renewals to the leader")
			return
		}
		c.notifyMembershipEnd(answer)
	})
}

// serveRenewBatch serves MethodRenewBatch.
func (c *Control) serveRenewBatch(b registrar.RenewBatch) (registrar.RenewAnswer, error) {
	d := c.currentDuties()
	if d == nil {
		return registrar.RenewAnswer{}, c.notLeader()
	}
	return d.renew(b), nil
}

// notifyMembershipEnd notifies the companions connected here whose memberships have
// ended.
func (c *Control) notifyMembershipEnd(a registrar.RenewAnswer) {
	for _, m := range a.Void {
		conn := c.relay.companion(m.Name)
		if conn == nil {
			continue
		}
		c.relay.sendAsync("void "+m.Name, func() {
			// A companion that does not receive it keeps renewing, and is notified again.
			_ = conn.Notify(c.ctx, messenger.MethodVoid, registrar.Void{Members: []storer.MemberEpoch{m}})
		})
	}
}
