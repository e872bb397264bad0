package replicator

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// step takes in a message from the network, whoever sent it.
func (r *replica) step(m Message) error {
	if m.Group != r.identity.Group || m.To != r.settings.Self.ID {
		return r.refuse(m, "of another group or for another host")
	}
	if m.Kind == FoundRequest {
		r.answerFounder(m)
		return nil
	}
	if m.Kind == FoundReply {
		return r.stepFounder(m)
	}
	if m.Formation == 0 || (r.identity.Formation != 0 && m.Formation != r.identity.Formation) {
		return r.refuse(m, "of another formation of the group")
	}
	// A leader that feeds a learner may not know its disk. This host may still take
	// itself for the voter that it was before it was removed: what it answers counts
	// for nothing before the group gives this disk a vote again.
	unaddressed := m.ToIncarnation == 0 && (m.Kind == AppendRequest || m.Kind == SnapshotRequest)
	if m.ToIncarnation != r.identity.Incarnation && !unaddressed {
		return r.refuse(m, "for another disk of this host")
	}
	if err := r.bind(m.Formation); err != nil {
		return err
	}
	return errors.Trace(r.core.Step(m))
}

func (r *replica) refuse(m Message, reason string) error {
	r.settings.Observe(MessageRefused{From: m.From, Reason: reason})
	return nil
}

// bind makes this host, if it is new, a part of the group that has spoken to
// its disk. That lasts before anything is answered.
func (r *replica) bind(formation uint64) error {
	if r.identity.Formation != 0 {
		return nil
	}
	r.identity.Formation = formation
	r.founder = nil
	return errors.Trace(r.store.SaveIdentity(r.identity))
}

// answerFounder tells whether this host is new and has the same list.
func (r *replica) answerFounder(m Message) {
	fresh := r.identity.Formation == 0 && digestMembers(r.settings.Bootstrap) == m.Digest
	r.emit([]Message{{Kind: FoundReply, To: m.From, Digest: m.Digest, Rejected: !fresh}})
}

// stepFounder forms the group once all have answered.
func (r *replica) stepFounder(m Message) error {
	if r.founder == nil {
		return nil
	}
	r.founder.step(m)
	if r.founder.refusedBy != 0 {
		r.settings.Observe(BootstrapRefused{By: m.From})
		r.settings.Log.Warn().Uint64("Host", uint64(m.From)).
			Msg("no group is formed: a host of the bootstrap list belongs to a group or has another list; this host waits to be added")
		r.founder = nil
		return nil
	}
	return r.tryFound()
}

// tryFound writes the group's first entry, and then the identity, whose
// formation number makes it valid.
func (r *replica) tryFound() error {
	configuration, ok := r.founder.done()
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
	if err := r.bind(r.settings.Random.Uint64() | 1); err != nil {
		return err
	}
	now := r.core.clock
	var err error
	if r.core, err = NewCore(r.settings.core(r.identity.Incarnation), hard, snapshotter.Metadata{}, Configuration{}, []Entry{first}); err != nil {
		return errors.Trace(err)
	}
	// All others are new, so that nobody else can lead.
	r.core.clock = now
	r.core.campaign(false)
	return nil
}
