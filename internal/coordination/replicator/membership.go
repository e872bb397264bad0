package replicator

import (
	"context"
	"slices"

	"github.com/juju/errors"
)

// AddMember adds a host. It is added as a learner first. If m.Voter is set, AddMember waits until
// it has caught up and makes it a voter by a second committed change. If ctx ends before that, the
// host stays a learner and the call can be repeated. It returns ErrChangeRefused while another
// change is in progress.
func (r *Replicator) AddMember(ctx context.Context, m Member) error {
	if m.ID == 0 || m.Address == "" {
		return errors.Trace(ErrChangeRefused{Reason: "the member has no number or no address"})
	}
	old, found := Configuration{Members: r.Status().Members}.Find(m.ID)
	if found && old.Voter && old.Address == m.Address && old.FailureDomain == m.FailureDomain {
		return r.confirmVoter(ctx, m.ID)
	}
	if err := r.change(ctx, AddLearner{Member: m}); err != nil || !m.Voter || old.Voter {
		return errors.Trace(err)
	}
	for !slices.Contains(r.lastPublished().caughtUp, m.ID) {
		if !r.sleep(ctx, r.settings.HeartbeatInterval) {
			return errors.Trace(ErrOutcomeUnknown{Reason: "the new member has not caught up; it stays a learner"})
		}
		if r.Status().Role != Leader {
			leader, _ := r.Leader()
			return errors.Trace(ErrNotLeader{Leader: leader})
		}
	}
	return errors.Trace(r.change(ctx, PromoteLearner{ID: m.ID}))
}

// confirmVoter answers a repeated call for an existing voter. It returns ErrChangeRefused if the
// voter does not follow the leader, as after the loss of its disk.
func (r *Replicator) confirmVoter(ctx context.Context, id HostID) error {
	if err := r.ReadBarrier(ctx); err != nil {
		return err
	}
	if id != r.settings.Self.ID && !slices.Contains(r.lastPublished().caughtUp, id) {
		return errors.Trace(ErrChangeRefused{Reason: "the host is a voter that does not follow; if its disk was lost, remove it first"})
	}
	return nil
}

// RemoveMember removes a host and returns once the change is committed. A leader can't remove
// itself; after TransferLeadership the next leader can.
func (r *Replicator) RemoveMember(ctx context.Context, id HostID) error {
	return errors.Trace(r.change(ctx, RemoveMember{ID: id}))
}

func (r *Replicator) change(ctx context.Context, c Change) error {
	return r.submit(ctx, proposal{change: c, done: make(chan outcome, 1)}).err
}

// TransferLeadership transfers leadership to the voter with the most complete log, and returns once
// this host no longer leads. On a host that does not lead it returns nil at once.
func (r *Replicator) TransferLeadership(ctx context.Context) error {
	for r.Status().Role == Leader {
		request := transferRequest{done: make(chan error, 1)}
		select {
		case r.inbox <- request:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-r.stopped:
			return r.Err()
		}
		select {
		case err := <-request.done:
			var notLeader ErrNotLeader
			if errors.As(err, &notLeader) {
				return nil
			}
			if err != nil {
				return errors.Trace(err)
			}
		case <-r.stopped:
			return r.Err()
		}
		if !r.sleep(ctx, r.settings.TickInterval) {
			return errors.Trace(ErrOutcomeUnknown{Reason: "leadership was not handed over in time"})
		}
	}
	return nil
}
