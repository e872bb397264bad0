package journaler

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// segmentSuffix is the file name suffix of all segments.
const segmentSuffix = ".journal"

// segmentName returns the file name of the segment whose first record has the index
// first. Names sort in the order of the indices.
func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// Open opens the journal in a folder, or creates one that starts at index 1, and
// calls replay for each record in order. replay may retain the payload. Open
// removes a torn tail. If records are damaged, it returns ErrDamaged and changes no
// file. Once it has returned, all records and segments are durable, also those that
// a previous process wrote without a successful sync.
func Open(s Settings, replay func(index uint64, payload []byte) error) (*Journal, error) {
	j := &Journal{settings: s.withDefaults()}
	if err := j.load(replay); err != nil {
		if j.active != nil {
			_ = j.active.Close()
		}
		return nil, errors.Annotatef(err, "open journal %s", j.settings.Folder)
	}
	return j, nil
}

// load reads the segments. Only Open calls it, before the journal is shared, without
// lock.
func (j *Journal) load(replay func(index uint64, payload []byte) error) error {
	files := j.settings.FileSystem
	if err := files.MakeFolder(j.settings.Folder); err != nil {
		return errors.Annotate(err, "make folder")
	}
	names, err := files.List(j.settings.Folder)
	if err != nil {
		return errors.Annotate(err, "list folder")
	}
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, segmentSuffix) })
	for i, n := range names {
		if err := j.loadSegment(n, i == len(names)-1, replay); err != nil {
			return err
		}
	}
	if len(j.segments) == 0 {
		return j.createSegment(1)
	}
	if err := files.SyncFolder(j.settings.Folder); err != nil {
		return errors.Annotate(err, "sync folder")
	}
	j.lastDurable = j.last().nextIndex() - 1
	j.syncedEnd = j.last().size
	return nil
}

// loadSegment reads one segment. If it is the last one, its file stays open as the
// active file. Only Open calls it, before the journal is shared, without lock.
func (j *Journal) loadSegment(name string, last bool, replay func(uint64, []byte) error) (err error) {
	path := filepath.Join(j.settings.Folder, name)
	file, err := j.settings.FileSystem.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		if err != nil {
			_ = file.Close()
		}
	}()
	b, err := ReadAll(file)
	if err != nil {
		return errors.Trace(err)
	}
	s := &segment{name: name}
	var synced int64
	var ok bool
	if s.first, ok = parseSegmentHeader(b); !ok {
		return j.removeUnfinishedSegment(path, file, b, last)
	}
	if name != segmentName(s.first) || (len(j.segments) > 0 && s.first != j.last().nextIndex()) {
		return ErrDamaged{File: path, Reason: fmt.Sprintf("segment of record %d does not follow the one before it", s.first)}
	}
	if synced, err = s.scan(path, b, last, replay); err != nil {
		return err
	}
	if int64(len(b)) > s.size {
		if err := truncateAndSync(file, s.size); err != nil {
			return err
		}
	}
	j.segments = append(j.segments, s)
	j.totalBytes += s.size
	if !last {
		return errors.Trace(file.Close())
	}
	// If a previous process ended before its sync, or the sync failed, the contents
	// may be in the page cache only.
	if err := file.Rewrite(synced); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	j.active = file
	return nil
}

// removeUnfinishedSegment removes a last segment whose creation was interrupted by a
// crash, so that it never contained a record. Any other segment without a valid
// header is damaged. Only Open calls it, before the journal is shared, without lock.
func (j *Journal) removeUnfinishedSegment(path string, file File, b []byte, last bool) error {
	if err := file.Close(); err != nil {
		return errors.Trace(err)
	}
	if !last || len(b) > segmentHeaderSize {
		return ErrDamaged{File: path, Reason: "no segment header"}
	}
	if err := j.settings.FileSystem.Remove(path); err != nil {
		return errors.Trace(err)
	}
	if err := j.settings.FileSystem.SyncFolder(j.settings.Folder); err != nil {
		return errors.Trace(err)
	}
	if len(j.segments) == 0 {
		return nil
	}
	return errors.Trace(j.openLastSegment())
}

// openLastSegment opens the last of j.segments as the active one. The caller holds
// lock once the journal is shared.
func (j *Journal) openLastSegment() error {
	file, err := j.settings.FileSystem.Open(filepath.Join(j.settings.Folder, j.last().name))
	if err != nil {
		return errors.Trace(err)
	}
	j.active = file
	j.syncedEnd = j.last().size
	return nil
}

// scan parses the records in b, the contents of the file at path, and calls replay
// for each. It sets s.size to the end of the last valid record, and returns the offset
// up to which the records prove the segment synced. A torn tail of the last segment is
// not an error.
func (s *segment) scan(path string, b []byte, last bool, replay func(uint64, []byte) error) (synced int64, err error) {
	s.size = int64(segmentHeaderSize)
	for s.size < int64(len(b)) {
		f, ok := parseFrame(b[s.size:])
		if !ok || f.index != s.nextIndex() {
			if !last || laterRecordProvesSync(b, s.size, s.nextIndex()) {
				return 0, ErrDamaged{File: path, Offset: s.size, Reason: fmt.Sprintf("record %d is not readable", s.nextIndex())}
			}
			return synced, nil
		}
		if err := replay(f.index, f.payload); err != nil {
			return 0, errors.Annotatef(err, "record %d at offset %d of %s", f.index, s.size, path)
		}
		s.offsets = append(s.offsets, uint32(s.size))
		s.size += f.size()
		synced = max(synced, f.syncedEnd)
	}
	return synced, nil
}

// truncateAndSync shortens a file to size bytes and syncs it. Without the sync the
// removed tail could reappear after a crash and mix with records written since.
func truncateAndSync(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

// ReadAll returns the contents of a file.
func ReadAll(file File) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, errors.Trace(err)
	}
	b := make([]byte, size)
	n, err := file.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Trace(err)
	}
	return b[:n], nil
}
