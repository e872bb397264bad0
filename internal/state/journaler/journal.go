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
	// Folder holds the segments and nothing else; it is created if need be.
	Folder string
	// FileSystem is used for all access; nil means Disk.
	FileSystem FileSystem
	// SegmentBytes is the size at which a new segment is begun; 0 means
	// DefaultSegmentBytes. It is at most 2 GiB.
	SegmentBytes int64
	// MaximumBytes bounds the sum of all segments; 0 means
	// DefaultMaximumBytes.
	MaximumBytes int64
	// ObserveSync is called with the length of each sync of records, if it
	// isn't nil.
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

// segment describes one file of the journal.
type segment struct {
	name string
	// first is the index of its first record.
	first uint64
	// offsets holds the start of each record, so that the record with index i
	// begins at offsets[i-first].
	offsets []uint32
	size    int64
}

// next returns the index that follows the segment's last record.
func (s *segment) next() uint64 { return s.first + uint64(len(s.offsets)) }

// Journal is an open write-ahead journal. Its methods may be called from
// several goroutines.
type Journal struct {
	settings Settings

	// syncing is held during a sync of records, so that the appends that come
	// meanwhile share the next one. It is taken before lock.
	syncing sync.Mutex

	lock sync.Mutex
	// segments are in rising order without gaps; there is always one, and the
	// last is the one written to. Guarded by lock.
	segments []*segment
	// active is the open file of the last segment. Guarded by lock.
	active File
	// synced is the offset in the last segment up to which it lasts. It never
	// passes the segment's size. Guarded by lock.
	synced int64
	// durable is the index of the last record that lasts. Guarded by lock.
	durable uint64
	// bytes is the sum of the sizes of all segments. Guarded by lock.
	bytes int64
	// failed is the error of the first failed operation. Once set it stays.
	// Guarded by lock.
	failed error
}

// First returns the index of the first record still held; it is Last()+1 where
// there are none.
func (j *Journal) First() uint64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.segments[0].first
}

// Last returns the index of the last record, or of the last one before the
// journal began.
func (j *Journal) Last() uint64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.last().next() - 1
}

// Bytes returns the size of all segments.
func (j *Journal) Bytes() int64 {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.bytes
}

// last returns the segment that is written to. It needs lock.
func (j *Journal) last() *segment { return j.segments[len(j.segments)-1] }

// Append writes a record for each payload and returns the index of the first
// one when all of them are synced. The payloads of one call stay together.
func (j *Journal) Append(payloads [][]byte) (uint64, error) {
	j.lock.Lock()
	first, err := j.write(payloads)
	if err != nil {
		j.lock.Unlock()
		return 0, err
	}
	end := j.last().next() - 1
	j.lock.Unlock()
	return first, j.waitSynced(end)
}

// write appends the records to the active segment without syncing them. It
// needs lock.
func (j *Journal) write(payloads [][]byte) (uint64, error) {
	if j.failed != nil {
		return 0, j.failed
	}
	s := j.last()
	first := s.next()
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
		buffer = appendFrame(buffer, frame{index: first + uint64(i), synced: j.synced, payload: p})
	}
	if size := j.bytes + int64(len(buffer)); size > j.settings.MaximumBytes {
		return 0, errors.Trace(ErrFull{Bytes: size, Limit: j.settings.MaximumBytes})
	}
	if _, err := j.active.Write(buffer); err != nil {
		return 0, j.fail("write "+s.name, err)
	}
	s.offsets = offsets
	s.size += int64(len(buffer))
	j.bytes += int64(len(buffer))
	return first, nil
}

// waitSynced returns once the record with index end lasts. Whoever gets
// syncing first syncs for all that wrote before it.
func (j *Journal) waitSynced(end uint64) error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.lock.Lock()
	if j.failed != nil || j.durable >= end {
		defer j.lock.Unlock()
		return j.failed
	}
	s, file, size, last := j.last(), j.active, j.last().size, j.last().next()-1
	j.lock.Unlock()

	start := time.Now()
	err := file.Sync()
	j.settings.ObserveSync(time.Since(start))

	j.lock.Lock()
	defer j.lock.Unlock()
	// A segment that was rolled before this sync began was synced by roll. Any
	// other error counts, even if roll saw none: the system reports a failed
	// write-back only once.
	rolled := s != j.last() && errors.Is(err, os.ErrClosed)
	if err != nil && !rolled {
		return j.fail("sync "+s.name, err)
	}
	if s == j.last() && size > j.synced {
		j.synced = size
	}
	if last > j.durable {
		j.durable = last
	}
	return j.failed
}

// roll syncs the active segment and begins the next one. All segments but the
// last are therefore whole, and a bad record in one of them is damage. It
// needs lock.
func (j *Journal) roll() error {
	s := j.last()
	if err := j.active.Sync(); err != nil {
		return j.fail("sync "+s.name, err)
	}
	if err := j.active.Close(); err != nil {
		return j.fail("close "+s.name, err)
	}
	j.durable = s.next() - 1
	return j.begin(s.next())
}

// begin creates a segment for the records from first on, and makes it last
// before any record is written to it. It needs lock.
func (j *Journal) begin(first uint64) error {
	s := &segment{name: segmentName(first), first: first, size: int64(segmentHeadSize)}
	file, err := j.settings.FileSystem.Create(filepath.Join(j.settings.Folder, s.name))
	if err != nil {
		return j.fail("create "+s.name, err)
	}
	if _, err := file.Write(segmentHead(first)); err != nil {
		return j.fail("write "+s.name, err)
	}
	if err := file.Sync(); err != nil {
		return j.fail("sync "+s.name, err)
	}
	if err := j.settings.FileSystem.SyncFolder(j.settings.Folder); err != nil {
		return j.fail("sync folder", err)
	}
	j.segments = append(j.segments, s)
	j.active = file
	j.synced = s.size
	j.bytes += s.size
	return nil
}

// fail records the first failure and returns it. It needs lock.
func (j *Journal) fail(operation string, cause error) error {
	if j.failed == nil {
		j.failed = ErrFailed{Operation: operation, Cause: cause}
	}
	return j.failed
}

// Close closes the journal without a further sync: all that Append has
// returned for lasts already. It waits for a sync in progress.
func (j *Journal) Close() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.failed == nil {
		j.failed = ErrFailed{Operation: "use", Cause: errors.New("journal is closed")}
	}
	return errors.Trace(j.active.Close())
}
