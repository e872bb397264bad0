package journaler

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// segmentSuffix ends the names of all segments.
const segmentSuffix = ".journal"

// segmentName returns the name of the segment that begins with index first;
// names sort like indices.
func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// Open opens the journal in a folder, or begins one at index 1, and calls
// replay for each record in order. A payload aliases memory which replay may
// keep. A torn tail is cut; damage returns ErrDamaged and changes nothing.
func Open(s Settings, replay func(index uint64, payload []byte) error) (*Journal, error) {
	j := &Journal{settings: s.withDefaults()}
	files := j.settings.FileSystem
	if err := files.MakeFolder(j.settings.Folder); err != nil {
		return nil, errors.Annotate(err, "make journal folder")
	}
	names, err := files.List(j.settings.Folder)
	if err != nil {
		return nil, errors.Annotate(err, "list journal folder")
	}
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, segmentSuffix) })
	for i, n := range names {
		if err := j.load(n, i == len(names)-1, replay); err != nil {
			return nil, errors.Annotatef(err, "open journal %s", j.settings.Folder)
		}
	}
	if len(j.segments) == 0 {
		if err := j.begin(1); err != nil {
			return nil, err
		}
		return j, nil
	}
	j.durable = j.last().next() - 1
	j.synced = j.last().size
	return j, nil
}

// load reads one segment, and keeps it open where it is the last.
// Nobody else has it yet: it is not shared.
func (j *Journal) load(name string, last bool, replay func(uint64, []byte) error) error {
	path := filepath.Join(j.settings.Folder, name)
	file, err := j.settings.FileSystem.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	b, err := ReadAll(file)
	if err != nil {
		return errors.Trace(err)
	}
	s := &segment{name: name}
	var ok bool
	if s.first, ok = parseSegmentHead(b); !ok {
		return j.dropUnborn(path, file, b, last)
	}
	if name != segmentName(s.first) || (len(j.segments) > 0 && s.first != j.last().next()) {
		return ErrDamaged{File: path, Reason: fmt.Sprintf("segment of record %d does not follow the one before it", s.first)}
	}
	if err := s.scan(path, b, last, replay); err != nil {
		return err
	}
	if int64(len(b)) > s.size {
		if err := cut(file, s.size); err != nil {
			return err
		}
	}
	j.segments = append(j.segments, s)
	j.bytes += s.size
	if !last {
		return errors.Trace(file.Close())
	}
	j.active = file
	// What was read may have been in the page cache only: a crash of the
	// process before its sync. It must last before it is acted upon.
	return errors.Trace(file.Sync())
}

// dropUnborn removes a last segment whose creation was cut off by a crash: it
// never held a record. Any other segment without a header is damage.
// Nobody else has it yet: it is not shared.
func (j *Journal) dropUnborn(path string, file File, b []byte, last bool) error {
	if err := file.Close(); err != nil {
		return errors.Trace(err)
	}
	if !last || len(b) > segmentHeadSize {
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
	return errors.Trace(j.reopen())
}

// reopen makes the last known segment the active one.
// It needs lock, once the journal is shared.
func (j *Journal) reopen() error {
	file, err := j.settings.FileSystem.Open(filepath.Join(j.settings.Folder, j.last().name))
	if err != nil {
		return errors.Trace(err)
	}
	j.active = file
	j.synced = j.last().size
	return nil
}

// scan parses the records in b. It leaves size at the end of the last good
// record.
func (s *segment) scan(path string, b []byte, last bool, replay func(uint64, []byte) error) error {
	s.size = int64(segmentHeadSize)
	for s.size < int64(len(b)) {
		f, ok := parseFrame(b[s.size:])
		if !ok || f.index != s.next() {
			if !last || knownSynced(b, s.size, s.next()) {
				return ErrDamaged{File: path, Offset: s.size, Reason: fmt.Sprintf("record %d is not readable", s.next())}
			}
			return nil
		}
		if err := replay(f.index, f.payload); err != nil {
			return errors.Annotatef(err, "record %d at offset %d of %s", f.index, s.size, path)
		}
		s.offsets = append(s.offsets, uint32(s.size))
		s.size += f.size()
	}
	return nil
}

// cut shortens a file and makes that last: records written over a tail that
// could come back after a crash would mix with it.
func cut(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

// ReadAll reads a whole file.
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
