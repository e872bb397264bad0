package replicator

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// step handles a message from the network. Messages that are not addressed to this group, host and
// disk are dropped. A returned error means that the process must stop.
func (r *replica) step(m Message) error {
	if m.Group != r.identity.Group || m.To != r.settings.Self.ID {
		return r.refuse(m, "of another group or for another host")
	}
	if m.Kind == FoundRequest {
		r.answerFoundRequest(m)
		return nil
	}
	if m.Kind == FoundReply {
		return r.handleFoundReply(m)
	}
	if m.Formation == 0 || (r.identity.Formation != 0 && m.Formation != r.identity.Formation) {
		return r.refuse(m, "of another formation of the group")
	}
	// A leader may not know the incarnation of a learner's disk yet. After this host was removed,
	// it may still regard itself as a voter; its replies are not counted until the group gives this
	// disk a vote again.
	unaddressed := m.ToIncarnation == 0 && (m.Kind == AppendRequest || m.Kind == SnapshotRequest)
	if m.ToIncarnation != r.identity.Incarnation && !unaddressed {
		return r.refuse(m, "for another disk of this host")
	}
	if err := r.joinFormation(m.Formation); err != nil {
		return err
	}
	return errors.Trace(r.core.Step(m))
}

func (r *replica) refuse(m Message, reason string) error {
	r.settings.Observe(MessageRefused{From: m.From, Reason: reason})
	return nil
}

// joinFormation records on the disk that this host belongs to the given formation, if it belongs to
// none yet. The record is durable before any reply is sent.
func (r *replica) joinFormation(formation uint64) error {
	if r.identity.Formation != 0 {
		return nil
	}
	r.identity.Formation = formation
	r.bootstrapper = nil
	return errors.Trace(r.store.SaveIdentity(r.identity))
}

// isFounder reports whether this host takes part in forming the group by itself: it starts with the
// whole group, or has done so on this disk with the same bootstrap list.
func (r *replica) isFounder() bool {
	return !r.settings.Rejoin || r.identity.Founding != 0 && r.identity.Founding == digestMembers(r.settings.Bootstrap)
}

// answerFoundRequest replies whether this host is new and has the same bootstrap list.
func (r *replica) answerFoundRequest(m Message) {
	fresh := r.identity.Formation == 0 && digestMembers(r.settings.Bootstrap) == m.Digest
	r.emit([]Message{{Kind: FoundReply, To: m.From, Digest: m.Digest, Rejected: !fresh, Founder: r.isFounder()}})
}

// handleFoundReply counts a reply to a FoundRequest, and forms the group once all hosts of the
// bootstrap list have agreed.
func (r *replica) handleFoundReply(m Message) error {
	if r.bootstrapper == nil {
		return nil
	}
	r.bootstrapper.step(m)
	if r.bootstrapper.refusedBy != 0 {
		r.settings.Observe(BootstrapRefused{By: m.From})
		r.settings.Log.Warn().Uint64("Host", uint64(m.From)).
			Msg("group not formed: a host of the bootstrap list already belongs to a group or has a different list; this host waits to be added")
		r.bootstrapper = nil
		return nil
	}
	return r.tryFormGroup()
}

// tryFormGroup forms the group if all hosts of the bootstrap list have agreed. It writes the first
// entry and then the identity: the entry is valid only once the identity has a formation number.
func (r *replica) tryFormGroup() error {
	configuration, ok := r.bootstrapper.initialConfiguration()
	if !ok {
		return nil
	}
	const firstTerm = 1
	hard := snapshotter.HardState{Term: firstTerm}
	if err := r.store.SaveHardState(hard); err != nil {
		return errors.Trace(err)
	}
	first := Entry{Index: 1, Term: firstTerm, Kind: EntryMembership, Data: encodeConfiguration(configuration)}
	if _, err := r.journal.Append([][]byte{encodeEntry(first)}); err != nil {
		return errors.Trace(err)
	}
	if err := r.joinFormation(r.settings.Random.Uint64() | 1); err != nil {
		return err
	}
	now := r.core.clock
	var err error
	if r.core, err = NewCore(r.settings.core(r.identity.Incarnation), hard, snapshotter.Metadata{}, Configuration{}, []Entry{first}); err != nil {
		return errors.Trace(err)
	}
	// All other hosts are new, so that no other leader can exist.
	r.core.clock = now
	r.core.campaign(false)
	return nil
}
