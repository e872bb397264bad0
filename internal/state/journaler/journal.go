package journaler

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Defaults of Settings.
const (
	DefaultSegmentBytes = 16 << 20
	DefaultMaximumBytes = 1 << 30
)

// Settings are the options of a journal.
type Settings struct {
	// Folder contains the segments and no other files. Open creates it if it does
	// not exist.
	Folder string
	// FileSystem is used for all file access; nil means Disk.
	FileSystem FileSystem
	// SegmentBytes is the segment size from which on the next append starts a new
	// segment; 0 means DefaultSegmentBytes. It is at most 2 GiB.
	SegmentBytes int64
	// MaximumBytes is the maximum total size of all segments; 0 means
	// DefaultMaximumBytes.
	MaximumBytes int64
	// ObserveSync, if not nil, is called with the duration of each sync of
	// records.
	ObserveSync func(time.Duration)
}

func (s Settings) withDefaults() Settings {
	if s.FileSystem == nil {
		s.FileSystem = Disk{}
	}
	if s.SegmentBytes == 0 {
		s.SegmentBytes = DefaultSegmentBytes
	}
	if s.MaximumBytes == 0 {
		s.MaximumBytes = DefaultMaximumBytes
	}
	if s.ObserveSync == nil {
		s.ObserveSync = func(time.Duration) {}
	}
	return s
}

// segment describes one segment file.
type segment struct {
	name string
	// first is the index of the first record.
	first uint64
	// offsets contains the offset of each record in the file; the record with
	// index i starts at offsets[i-first].
	offsets []uint32
	size    int64
}

// nextIndex returns the index that follows the last record of the segment.
func (s *segment) nextIndex() uint64 { return s.first + uint64(len(s.offsets)) }

// Journal is an open write-ahead journal. Its methods are safe for concurrent use.
type Journal struct {
	settings Settings

	// syncLock is held during a sync of records, so that concurrent appends share
	// the next sync. It is acquired before lock.
	syncLock sync.Mutex

	lock sync.Mutex
	// segments are in ascending order of their indices, without gaps. There is
	// always at least one; the last is the active one, to which records are
	// written. Guarded by lock.
	segments []*segment
	// active is the open file of the active segment. Guarded by lock.
	active File
	// syncedEnd is the offset up to which the active segment is durable. It never
	// exceeds the size of the segment. Guarded by lock.
	syncedEnd int64
	// lastDurable is the index of the last durable record. Guarded by lock.
	lastDurable uint64
	// totalBytes is the total size of all segments. Guarded by lock.
	totalBytes int64
	// failed is the error of the first failed operation; it is never reset, so that
	// the journal has to be opened again. Guarded by lock.
	failed error
}

// First returns the index of the first record in the journal, or Last()+1 if the
// journal has no records.
func (j *Journal) First() uint64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.segments[0].first
}

// Last returns the index of the last record. For an empty journal it is the index
// that precedes the next record.
func (j *Journal) Last() uint64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.last().nextIndex() - 1
}

// Bytes returns the total size of all segments in bytes.
func (j *Journal) Bytes() int64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.totalBytes
}

// last returns the active segment. The caller holds lock.
func (j *Journal) last() *segment { return j.segments[len(j.segments)-1] }

// Append writes one record for each payload, with consecutive indices. It returns
// the index of the first one after all of them have been synced. The errors are
// ErrFull and ErrFailed, and one for a payload larger than MaximumRecordBytes.
func (j *Journal) Append(payloads [][]byte) (uint64, error) {
	j.lock.Lock()
	first, err := j.writeRecords(payloads)
	if err != nil {
		j.lock.Unlock()
		return 0, err
	}
	end := j.last().nextIndex() - 1
	j.lock.Unlock()
	return first, j.waitSynced(end)
}

// writeRecords appends records to the active segment without syncing them, and
// returns the index of the first one. The caller holds lock.
func (j *Journal) writeRecords(payloads [][]byte) (uint64, error) {
	if j.failed != nil {
		return 0, j.failed
	}
	s := j.last()
	first := s.nextIndex()
	if s.size >= j.settings.SegmentBytes && len(s.offsets) > 0 {
		if err := j.roll(); err != nil {
			return 0, err
		}
		s = j.last()
	}
	var buffer []byte
	offsets := s.offsets
	for i, p := range payloads {
		if len(p) > MaximumRecordBytes {
			return 0, errors.Errorf("record of %d bytes is over the limit of %d", len(p), MaximumRecordBytes)
		}
		offsets = append(offsets, uint32(s.size+int64(len(buffer))))
		buffer = appendFrame(buffer, frame{index: first + uint64(i), syncedEnd: j.syncedEnd, payload: p})
	}
	if size := j.totalBytes + int64(len(buffer)); size > j.settings.MaximumBytes {
		return 0, errors.Trace(ErrFull{Bytes: size, Limit: j.settings.MaximumBytes})
	}
	if _, err := j.active.Write(buffer); err != nil {
		return 0, j.fail("write "+s.name, err)
	}
	s.offsets = offsets
	s.size += int64(len(buffer))
	j.totalBytes += int64(len(buffer))
	return first, nil
}

// waitSynced returns once the record with index end is durable. The goroutine that
// acquires syncLock first syncs all records written so far, also those of the other
// waiting goroutines.
func (j *Journal) waitSynced(end uint64) error {
	j.syncLock.Lock()
	defer j.syncLock.Unlock()
	j.lock.Lock()
	if j.failed != nil || j.lastDurable >= end {
		defer j.lock.Unlock()
		return j.failed
	}
	s, file, size, last := j.last(), j.active, j.last().size, j.last().nextIndex()-1
	j.lock.Unlock()

	start := time.Now()
	err := file.Sync()
	j.settings.ObserveSync(time.Since(start))

	j.lock.Lock()
	defer j.lock.Unlock()
	// If the segment was rolled before this sync started, roll has synced and
	// closed it. Any other error fails the journal, even if roll's sync succeeded:
	// the operating system reports a failed write-back only once.
	rolled := s != j.last() && errors.Is(err, os.ErrClosed)
	if err != nil && !rolled {
		return j.fail("sync "+s.name, err)
	}
	if s == j.last() && size > j.syncedEnd {
		j.syncedEnd = size
	}
	if last > j.lastDurable {
		j.lastDurable = last
	}
	return j.failed
}

// roll syncs the active segment and starts a new one. All segments except the last
// are therefore completely synced, and an invalid record in one of them is damage.
// The caller holds lock.
func (j *Journal) roll() error {
	s := j.last()
	if err := j.active.Sync(); err != nil {
		return j.fail("sync "+s.name, err)
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+s.name, err)
	}
	j.lastDurable = s.nextIndex() - 1
	return j.createSegment(s.nextIndex())
}

// createSegment creates the active segment for the records from index first on, and
// makes it durable before any record is written to it. The caller holds lock.
func (j *Journal) createSegment(first uint64) error {
	s := &segment{name: segmentName(first), first: first, size: int64(segmentHeaderSize)}
	file, err := j.settings.FileSystem.Create(filepath.Join(j.settings.Folder, s.name))
	if err != nil {
		return j.fail("create "+s.name, err)
	}
	if err := j.writeHeader(file, s); err != nil {
		_ = file.Close()
		return err
	}
	j.segments = append(j.segments, s)
	j.active = file
	j.syncedEnd = s.size
	j.totalBytes += s.size
	return nil
}

// writeHeader makes a new segment durable. The caller holds lock.
func (j *Journal) writeHeader(file File, s *segment) error {
	if _, err := file.Write(encodeSegmentHeader(s.first)); err != nil {
		return j.fail("write "+s.name, err)
	}
	if err := file.Sync(); err != nil {
		return j.fail("sync "+s.name, err)
	}
	if err := j.settings.FileSystem.SyncFolder(j.settings.Folder); err != nil {
		return j.fail("sync folder", err)
	}
	return nil
}

// fail marks the journal as failed, unless it already is, and returns the first
// failure. The caller holds lock.
func (j *Journal) fail(operation string, cause error) error {
	if j.failed == nil {
		j.failed = ErrFailed{Operation: operation, Cause: cause}
	}
	return j.failed
}

// Close closes the journal. It waits for a sync in progress, but needs no further
// one, since all records for which Append has returned are durable.
func (j *Journal) Close() error {
	j.syncLock.Lock()
	defer j.syncLock.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed == nil {
		j.failed = ErrFailed{Operation: "use", Cause: errors.New("journal is closed")}
	}
	return errors.Trace(j.active.Close())
}
