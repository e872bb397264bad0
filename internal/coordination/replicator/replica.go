package replicator

import (
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// Names within the data folder.
const (
	journalFolder = "journal"
	stateFolder   = "state"
	lockName      = "lock"
)

// replica connects a Core with its files. It is synchronous and used by one goroutine: its methods
// return once everything that must be persisted is durable. An error means that the process must
// stop.
type replica struct {
	settings Settings
	// core is nil while the files have to be opened again after a failure of the disk; emitted is then
	// the index of the last entry that was passed to the state machine.
	core     *Core
	emitted  uint64
	journal  *journaler.Journal
	store    *snapshotter.Store
	identity snapshotter.Identity
	// bootstrapper is set while this host tries to form a group.
	bootstrapper *bootstrapper

	// send passes messages to the transport.
	send func([]Message)
	// onCommit receives committed entries for the applier.
	onCommit func([]Entry)
	// onInstall receives the metadata of a newly installed snapshot.
	onInstall func(snapshotter.Metadata)
	// onRead receives the answers to reads.
	onRead func(ReadState)
}

// newReplica returns a replica that has to be opened. The caller sets its functions before.
func newReplica(s Settings) *replica {
	return &replica{settings: s, store: snapshotter.NewStore(snapshotter.Settings{
		Folder: filepath.Join(s.DataFolder, stateFolder), FileSystem: s.FileSystem,
	})}
}

// open opens the files, or opens them again after a failure of the disk, and creates the core from
// them. After an error it can be called again.
func (r *replica) open() error {
	damaged, err := r.store.Open()
	if err != nil {
		return errors.Trace(err)
	}
	for _, d := range damaged {
		r.settings.Log.Error().Err(d).Msg("snapshot is damaged; using the previous one")
	}
	if r.journal != nil {
		// The journal has failed; what its file holds is read again.
		_ = r.journal.Close()
	}
	var entries []Entry
	journal, err := journaler.Open(r.journalSettings(), func(index uint64, record []byte) error {
		e, err := decodeEntry(index, record)
		entries = append(entries, e)
		return err
	})
	if err != nil {
		return errors.Trace(err)
	}
	r.journal = journal
	return r.recover(entries)
}

// suspend ends this host's role after a failure of the disk. A leader names its successor, since its
// followers would otherwise wait for an election timeout.
func (r *replica) suspend() {
	if r.core == nil {
		return
	}
	if m, ok := r.core.abdicate(); ok {
		r.emit([]Message{m})
	}
	// Its log would take memory beside the one that is read again.
	r.emitted, r.core = r.core.emitted, nil
}

// reopen opens the files again after a failure of the disk. now is the time on the host's clock.
// The state machine keeps the entries that were passed on to it before.
func (r *replica) reopen(now time.Duration) error {
	// A previous attempt may have failed after it created a core.
	r.suspend()
	if err := r.open(); err != nil {
		return err
	}
	if err := r.core.resume(now, r.emitted); err != nil {
		return errors.Annotatef(err, "data folder %s", r.settings.DataFolder)
	}
	latest, ok := r.store.Latest()
	if !ok {
		return nil
	}
	// The failure may have come between the snapshot and its restoration.
	r.onInstall(latest)
	return r.compact(latest)
}

func (r *replica) journalSettings() journaler.Settings {
	return journaler.Settings{
		Folder:       filepath.Join(r.settings.DataFolder, journalFolder),
		FileSystem:   r.settings.FileSystem,
		MaximumBytes: r.settings.JournalBytes,
		ObserveSync:  func(took time.Duration) { r.settings.Observe(Synced{Took: took}) },
	}
}

// recover creates the core from the contents of the files.
func (r *replica) recover(entries []Entry) error {
	if err := r.loadIdentity(len(entries) > 0); err != nil {
		return err
	}
	hard, err := r.store.HardState()
	if err != nil {
		return errors.Trace(err)
	}
	snapshot, _ := r.store.Latest()
	if r.identity.Formation == 0 {
		// A crash during the formation of the group may have left its first entry.
		if err := r.journal.Reset(1); err != nil {
			return errors.Trace(err)
		}
		hard, entries = snapshotter.HardState{}, nil
		r.bootstrapper = newBootstrapper(r.settings, r.identity.Incarnation, r.isFounder())
	}
	if entries, err = r.reconcileJournal(entries, snapshot); err != nil {
		return err
	}
	base := Configuration{}
	if snapshot.Index > 0 {
		if base, err = decodeConfiguration(snapshot.Extra); err != nil {
			return errors.Trace(err)
		}
	}
	r.core, err = NewCore(r.settings.core(r.identity.Incarnation), hard, snapshot, base, entries)
	return errors.Trace(err)
}

// loadIdentity reads the identity, or creates one in an empty folder.
func (r *replica) loadIdentity(hasEntries bool) error {
	id, found, err := r.store.Identity()
	if err != nil {
		return errors.Trace(err)
	}
	if found {
		r.identity = id
		if id.Group != r.settings.Group || id.Host != uint64(r.settings.Self.ID) {
			return errors.Errorf("data folder %s belongs to host %d of group %q, not to host %d of group %q",
				r.settings.DataFolder, id.Host, id.Group, r.settings.Self.ID, r.settings.Group)
		}
		return nil
	}
	if _, snapshots := r.store.Latest(); snapshots || hasEntries {
		return errors.Errorf("data folder %s holds a log but no identity: remove the host, empty the folder and add it again",
			r.settings.DataFolder)
	}
	r.identity = snapshotter.Identity{
		Group: r.settings.Group, Host: uint64(r.settings.Self.ID), Incarnation: r.settings.Random.Uint64() | 1,
	}
	if !r.settings.Rejoin && len(r.settings.Bootstrap) > 0 {
		r.identity.Founding = digestMembers(r.settings.Bootstrap)
	}
	return errors.Trace(r.store.SaveIdentity(r.identity))
}

// reconcileJournal returns the entries that follow the snapshot. It resets the journal if it ends
// before the snapshot or disagrees with it.
func (r *replica) reconcileJournal(entries []Entry, snapshot snapshotter.Metadata) ([]Entry, error) {
	if snapshot.Index == 0 && r.journal.First() == 1 {
		return entries, nil
	}
	if first := r.journal.First(); first > snapshot.Index+1 {
		return nil, journaler.ErrDamaged{
			File:   r.settings.DataFolder,
			Reason: "the journal begins after the latest readable snapshot",
		}
	}
	drop := r.journal.Last() < snapshot.Index
	for len(entries) > 0 && entries[0].Index <= snapshot.Index {
		drop = drop || (entries[0].Index == snapshot.Index && entries[0].Term != snapshot.Term)
		entries = entries[1:]
	}
	if !drop {
		return entries, nil
	}
	return nil, errors.Trace(r.journal.Reset(snapshot.Index + 1))
}

// close closes the store and the journal, as far as they are open.
func (r *replica) close() error {
	err := r.store.Close()
	if r.journal != nil {
		if closed := r.journal.Close(); err == nil {
			err = closed
		}
	}
	return errors.Trace(err)
}

// emit fills in the group and the sender, and sends the messages.
func (r *replica) emit(ms []Message) {
	if len(ms) == 0 {
		return
	}
	for i := range ms {
		ms[i].Group, ms[i].Formation = r.identity.Group, r.identity.Formation
		ms[i].From, ms[i].FromIncarnation = r.settings.Self.ID, r.identity.Incarnation
	}
	r.send(ms)
}

// advance carries out the core's output until there is none left.
func (r *replica) advance() error {
	r.core.Flush()
	for {
		rd, busy := r.core.Ready()
		if !busy {
			return nil
		}
		for _, b := range rd.Ballots {
			r.settings.Observe(b)
		}
		if rd.HardState == nil {
			r.emit(rd.Early)
			rd.Early = nil
		}
		began := r.settings.Now()
		if err := r.persist(rd); err != nil {
			return err
		}
		if rd.HardState != nil {
			r.core.DelayCampaign(r.settings.Now().Sub(began))
		}
		r.emit(rd.Early)
		r.emit(rd.Messages)
		if err := r.sendPieces(rd.SnapshotSends); err != nil {
			return err
		}
		if len(rd.Committed) > 0 {
			r.onCommit(rd.Committed)
		}
		for _, s := range rd.Reads {
			r.onRead(s)
		}
		r.core.Advance(rd)
		for _, m := range rd.Pieces {
			if err := r.storePiece(m); err != nil {
				return err
			}
		}
		r.core.Flush()
	}
}

// persist makes the state and entries of rd durable, which its messages depend on.
func (r *replica) persist(rd Ready) error {
	if rd.HardState != nil {
		if err := r.store.SaveHardState(*rd.HardState); err != nil {
			return errors.Trace(err)
		}
	}
	if rd.TruncateFrom != 0 {
		if err := r.journal.TruncateSuffix(rd.TruncateFrom); err != nil {
			return errors.Annotate(err, "truncate journal")
		}
	}
	if len(rd.Entries) == 0 {
		return nil
	}
	records := make([][]byte, len(rd.Entries))
	for i, e := range rd.Entries {
		records[i] = encodeEntry(e)
	}
	first, err := r.journal.Append(records)
	if err != nil {
		return errors.Annotate(err, "append to journal")
	}
	if first != rd.Entries[0].Index {
		return errors.Errorf("journal put entry %d at %d", rd.Entries[0].Index, first)
	}
	return nil
}

// compact drops the entries that the two latest snapshots make unnecessary. Until there are two,
// the whole log is kept, so that a damaged snapshot can be replaced.
func (r *replica) compact(taken snapshotter.Metadata) error {
	oldest, _ := r.store.Oldest()
	if oldest.Index >= taken.Index {
		oldest.Index = 0
	}
	r.core.Compact(taken, oldest.Index)
	return errors.Annotate(r.journal.TruncatePrefix(min(oldest.Index, r.core.log.base)), "compact journal")
}
