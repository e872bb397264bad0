package journaler

import (
	"path/filepath"

	"github.com/juju/errors"
)

// TruncatePrefix gives back the space of records up to index upTo. Only whole
// segments go, and never the last one, so some records up to upTo may stay.
// The oldest go first: a crash in between leaves a journal without gaps.
func (j *Journal) TruncatePrefix(upTo uint64) error {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	for len(j.segments) > 1 && j.segments[0].next()-1 <= upTo {
		if err := j.remove(j.segments[0]); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// TruncateSuffix removes all records from index from on, and returns when that
// lasts. The newest segments go first, so that a crash in between leaves a
// journal without gaps. A from before First panics.
func (j *Journal) TruncateSuffix(from uint64) error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if from < j.segments[0].first {
		panic("journaler: truncation before the first record")
	}
	if from >= j.last().next() {
		return nil
	}
	if err := j.dropAfter(from); err != nil {
		return err
	}
	s := j.last()
	if from < s.next() {
		size := int64(s.offsets[from-s.first])
		if err := cut(j.active, size); err != nil {
			return j.fail("truncate "+s.name, err)
		}
		j.bytes -= s.size - size
		s.size = size
		s.offsets = s.offsets[:from-s.first]
	}
	j.synced = s.size
	j.durable = from - 1
	return nil
}

// dropAfter removes the segments that begin after index from, and leaves the
// one that holds it active. It needs lock.
func (j *Journal) dropAfter(from uint64) error {
	if len(j.segments) == 1 || j.last().first <= from {
		return nil
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+j.last().name, err)
	}
	for len(j.segments) > 1 && j.last().first > from {
		if err := j.remove(j.last()); err != nil {
			return err
		}
		j.segments = j.segments[:len(j.segments)-1]
	}
	if err := j.reopen(); err != nil {
		return j.fail("open "+j.last().name, err)
	}
	return nil
}

// Reset empties the journal, so that the next record has index next. A crash
// in between leaves some of the newer records without a gap.
func (j *Journal) Reset(next uint64) error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+j.last().name, err)
	}
	for len(j.segments) > 0 {
		if err := j.remove(j.segments[0]); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	j.durable = next - 1
	return j.begin(next)
}

// remove removes the file of a segment and makes that last before the next one
// goes: a folder whose removals reach the medium out of order would show a gap
// after a crash, and be refused as damaged. It needs lock.
func (j *Journal) remove(s *segment) error {
	if err := j.settings.FileSystem.Remove(filepath.Join(j.settings.Folder, s.name)); err != nil {
		return j.fail("remove "+s.name, err)
	}
	if err := j.settings.FileSystem.SyncFolder(j.settings.Folder); err != nil {
		return j.fail("sync folder", errors.Trace(err))
	}
	j.bytes -= s.size
	return nil
}
