package replicator

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// sendPieces reads the requested snapshot pieces and sends them.
func (r *replica) sendPieces(ms []Message) error {
	for _, m := range ms {
		p, err := r.store.ReadPiece(m.Snapshot.Index, m.Snapshot.Offset, r.settings.PieceBytes)
		var gone snapshotter.ErrSnapshotRemoved
		if errors.As(err, &gone) {
			r.core.SnapshotGone(m.To)
			continue
		}
		if err != nil {
			return errors.Annotate(err, "read piece of snapshot")
		}
		m.Snapshot = &p
		r.emit([]Message{m})
	}
	return nil
}

// storePiece stores a piece, and installs the snapshot if it is complete.
func (r *replica) storePiece(m Message) error {
	next, complete, err := r.store.Receive(*m.Snapshot)
	if err != nil {
		return errors.Annotate(err, "store piece of snapshot")
	}
	if !complete {
		r.core.PieceStored(m, next)
		return nil
	}
	latest, _ := r.store.Latest()
	configuration, err := decodeConfiguration(latest.Extra)
	if err != nil {
		return errors.Trace(err)
	}
	if latest.Index <= r.core.commit {
		return nil
	}
	// The snapshot is already durable; after a crash or a failure before the journal is reset,
	// reconcileJournal resets it.
	dropEntries := r.core.Install(m, latest, configuration)
	r.settings.Observe(SnapshotInstalled{Index: latest.Index, Bytes: latest.Size})
	r.onInstall(latest)
	if dropEntries {
		return errors.Trace(r.journal.Reset(latest.Index + 1))
	}
	return nil
}
