package journaler

import (
	"path/filepath"

	"github.com/juju/errors"
)

// TruncatePrefix frees the space of records up to and including index upTo. It
// removes only whole segments, and never the active one, so that some of these
// records may remain. It removes the oldest segments first, so that a crash in
// between leaves a journal without gaps.
func (j *Journal) TruncatePrefix(upTo uint64) error {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	for len(j.segments) > 1 && j.segments[0].nextIndex()-1 <= upTo {
		if err := j.removeSegment(j.segments[0]); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// TruncateSuffix removes all records from index from on, and returns once the
// removal is durable. It removes the newest segments first, so that a crash in
// between leaves a journal without gaps. It panics if from is less than First.
func (j *Journal) TruncateSuffix(from uint64) error {
	j.syncLock.Lock()
	defer j.syncLock.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if from < j.segments[0].first {
		panic("journaler: truncation before the first record")
	}
	if from >= j.last().nextIndex() {
		return nil
	}
	if err := j.removeSegmentsAfter(from); err != nil {
		return err
	}
	s := j.last()
	if from < s.nextIndex() {
		size := int64(s.offsets[from-s.first])
		if err := truncateAndSync(j.active, size); err != nil {
			return j.fail("truncate "+s.name, err)
		}
		j.totalBytes -= s.size - size
		s.size = size
		s.offsets = s.offsets[:from-s.first]
	}
	j.syncedEnd = s.size
	j.lastDurable = from - 1
	return nil
}

// removeSegmentsAfter removes the segments that start after index from, and makes
// the one that contains it active. The caller holds lock.
func (j *Journal) removeSegmentsAfter(from uint64) error {
	if len(j.segments) == 1 || j.last().first <= from {
		return nil
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+j.last().name, err)
	}
	for len(j.segments) > 1 && j.last().first > from {
		if err := j.removeSegment(j.last()); err != nil {
			return err
		}
		j.segments = j.segments[:len(j.segments)-1]
	}
	if err := j.openLastSegment(); err != nil {
		return j.fail("open "+j.last().name, err)
	}
	return nil
}

// Reset removes all records; the next record gets the index next. It removes the newest
// segments first: a crash or a failure in between leaves some of the oldest records,
// without gaps.
func (j *Journal) Reset(next uint64) error {
	j.syncLock.Lock()
	defer j.syncLock.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+j.last().name, err)
	}
	for len(j.segments) > 0 {
		if err := j.removeSegment(j.last()); err != nil {
			return err
		}
		j.segments = j.segments[:len(j.segments)-1]
	}
	j.lastDurable = next - 1
	return j.createSegment(next)
}

// removeSegment removes the file of a segment and makes the removal durable. If
// removals became durable out of order, a crash could leave a gap between segments,
// and Open would refuse the journal as damaged. The caller holds lock.
func (j *Journal) removeSegment(s *segment) error {
	if err := j.settings.FileSystem.Remove(filepath.Join(j.settings.Folder, s.name)); err != nil {
		return j.fail("remove "+s.name, err)
	}
	if err := j.settings.FileSystem.SyncFolder(j.settings.Folder); err != nil {
		return j.fail("sync folder", errors.Trace(err))
	}
	j.totalBytes -= s.size
	return nil
}
