package journaler_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

func newDisk() *disker.Disk { return disker.NewDisk(rand.New(rand.NewPCG(1, 2))) }

// open opens the journal on a disk and returns the records in it.
func open(d *disker.Disk) (*journaler.Journal, [][]byte, error) {
	var records [][]byte
	s := journaler.Settings{Folder: "/j", FileSystem: d, SegmentBytes: 256, MaximumBytes: 1 << 14}
	j, err := journaler.Open(s, func(_ uint64, p []byte) error {
		records = append(records, p)
		return nil
	})
	return j, records, err
}

var _ = Describe("Journal", func() {
	// Guards against a host that refuses to start after a power failure in the
	// middle of a write: the incomplete record at the end must not count as damage,
	// since it was never acknowledged.
	It("removes a torn tail", func() {
		d := newDisk()
		j, _, err := open(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Append([][]byte{[]byte("one"), []byte("two")})).To(Equal(uint64(1)))
		f, err := d.Open("/j/0000000000000001.journal")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.Write(bytes.Repeat([]byte{7}, 40))
		Expect(err).NotTo(HaveOccurred())
		d.Restart()
		j, records, err := open(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(2))
		Expect(j.Append([][]byte{[]byte("three")})).To(Equal(uint64(3)))
	})

	// Guards against a silent loss of records in the middle of the log. The storage
	// medium loses a synced record before the host restarts, and everything from
	// there on is mistaken for a torn tail.
	It("refuses damage to synced records and names the file and offset", func() {
		d := newDisk()
		j, _, err := open(d)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range []string{"one", "two", "three"} {
			_, err = j.Append([][]byte{[]byte(p)})
			Expect(err).NotTo(HaveOccurred())
		}
		const second = 20 + 24 + 3
		d.Damage("/j/0000000000000001.journal", second+24)
		d.Restart()
		_, _, err = open(d)
		var damaged journaler.ErrDamaged
		Expect(errors.As(err, &damaged)).To(BeTrue())
		Expect(damaged.File).To(Equal("/j/0000000000000001.journal"))
		Expect(damaged.Offset).To(Equal(int64(second)))
	})

	// Guards against the loss of an acknowledged record in a crash. A sync fails and
	// the next one succeeds, but the operating system has dropped the pages whose
	// write-back failed.
	It("stays failed after a failed sync", func() {
		d := newDisk()
		j, _, err := open(d)
		Expect(err).NotTo(HaveOccurred())
		d.FailSyncIn(1)
		_, err = j.Append([][]byte{[]byte("one")})
		var failed journaler.ErrFailed
		Expect(errors.As(err, &failed)).To(BeTrue())
		_, err = j.Append([][]byte{[]byte("two")})
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(errors.Is(err, syscall.EIO)).To(BeTrue())
	})

	// Guards against a journal that is refused as damaged. It is reset to a snapshot whose entry it
	// contradicts, and crashes in between; what is left must begin before the snapshot.
	It("loses its newest records first when a reset is interrupted", func() {
		for n := 1; n < 20; n++ {
			d := newDisk()
			j, _, err := open(d)
			Expect(err).NotTo(HaveOccurred())
			for range 5 {
				_, err = j.Append([][]byte{make([]byte, 240)})
				Expect(err).NotTo(HaveOccurred())
			}
			d.CrashIn(n)
			if j.Reset(3) == nil {
				Expect(n).To(BeNumerically(">", 10))
				return
			}
			d.Restart()
			j, records, err := open(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(records) == 0 || j.First() == 1).To(BeTrue())
		}
		Fail("the reset was not reached")
	})

	// Guards against records that are doubled or garbled on a real disk, where they are rewritten in
	// place at each start.
	It("keeps its records over several starts on a real disk", func() {
		folder := GinkgoT().TempDir()
		var want [][]byte
		for n := range 4 {
			var found [][]byte
			j, err := journaler.Open(journaler.Settings{Folder: folder}, func(_ uint64, p []byte) error {
				found = append(found, p)
				return nil
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal(want))
			size := j.Bytes()
			record := bytes.Repeat([]byte{byte(n)}, 300<<10)
			_, err = j.Append([][]byte{record, {}})
			Expect(err).NotTo(HaveOccurred())
			Expect(j.Bytes() - size).To(Equal(int64(2*24 + len(record))))
			Expect(j.Close()).To(Succeed())
			want = append(want, record, []byte{})
		}
	})

	It("limits its size and accepts appends again after a truncation", func() {
		d := newDisk()
		j, _, err := open(d)
		Expect(err).NotTo(HaveOccurred())
		var full journaler.ErrFull
		for !errors.As(err, &full) {
			_, err = j.Append([][]byte{make([]byte, 100)})
		}
		Expect(j.Bytes()).To(BeNumerically("<=", 1<<14))
		Expect(j.TruncatePrefix(j.Last() - 1)).To(Succeed())
		_, err = j.Append([][]byte{make([]byte, 100)})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Bytes()).To(BeNumerically("<", 1000))
	})

	It("shares syncs between concurrent appends", func() {
		d := newDisk()
		syncs := 0
		j, err := journaler.Open(journaler.Settings{Folder: "/j", FileSystem: d, ObserveSync: func(time.Duration) { syncs++ }},
			func(uint64, []byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				defer GinkgoRecover()
				_, err := j.Append([][]byte{[]byte("x")})
				Expect(err).NotTo(HaveOccurred())
			})
		}
		all.Wait()
		Expect(j.Last()).To(Equal(uint64(200)))
		Expect(syncs).To(BeNumerically("<=", 200))
		Expect(j.Close()).To(Succeed())
	})
})

// TestPropertyCrashesLoseNothingSynced compares a journal with a slice, on a disk that
// crashes between any two durable operations. After a crash the journal contains all
// records for which Append has returned, and only records that were appended.
func TestPropertyCrashesLoseNothingSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disker.NewDisk(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "Seed"), 0)))
		m := &model{t: t, disk: d, first: 1, losesPower: true}
		m.reopenAndCheck()
		for range rapid.IntRange(1, 60).Draw(t, "Steps") {
			m.step(rapid.IntRange(0, 9).Draw(t, "Action"))
		}
	})
}

// TestPropertyDiskFailuresLoseNothingSynced does the same on a disk that also becomes full or fails
// syncs, with processes that also end without a loss of power. A journal that has failed is opened
// again; what it contains then must survive the next crash.
func TestPropertyDiskFailuresLoseNothingSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disker.NewDisk(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "Seed"), 0)))
		m := &model{t: t, disk: d, first: 1}
		m.reopenAndCheck()
		for range rapid.IntRange(1, 60).Draw(t, "Steps") {
			if action := rapid.IntRange(0, 16).Draw(t, "Action"); action < 10 {
				m.step(action)
			} else {
				m.disturb(action)
			}
		}
		m.disk.Crash()
		m.reopenAndCheck()
	})
}

// model contains the expected records of a journal; records[i] has the index first+i.
type model struct {
	t       *rapid.T
	disk    *disker.Disk
	journal *journaler.Journal
	first   uint64
	records [][]byte
	// synced is the number of records that must survive a crash. Later ones may.
	synced int
	// losesPower is set if an operation that fails because of a crash loses unsynced data.
	losesPower bool
}

func (m *model) step(action int) {
	last := m.first + uint64(len(m.records)) - 1
	var err error
	switch {
	case action < 5:
		payload := fmt.Appendf(nil, "%d-%d", last+1, rapid.IntRange(0, 1000).Draw(m.t, "Payload"))
		m.records = append(m.records, payload)
		if _, err = m.journal.Append([][]byte{payload}); err == nil {
			m.synced = len(m.records)
		}
	case action == 5 && m.synced > 0:
		keep := rapid.IntRange(0, m.synced-1).Draw(m.t, "Keep")
		if m.first+uint64(keep) < m.journal.First() {
			return
		}
		m.synced = keep
		if err = m.journal.TruncateSuffix(m.first + uint64(keep)); err == nil {
			m.records = m.records[:keep]
		}
	case action == 6 && m.synced > 0:
		err = m.journal.TruncatePrefix(m.first + uint64(rapid.IntRange(0, m.synced-1).Draw(m.t, "UpTo")))
	case action == 7:
		m.disk.CrashIn(rapid.IntRange(1, 10).Draw(m.t, "CrashIn"))
	case action == 8:
		m.disk.Crash()
		m.reopenAndCheck()
	}
	var failed journaler.ErrFailed
	if errors.As(err, &failed) && !errors.Is(err, disker.ErrCrashed) {
		m.reopenInProcess()
	} else if err != nil {
		if m.losesPower {
			m.disk.Crash()
		}
		m.reopenAndCheck()
	}
}

// disturb arms a fault of the disk or ends the process.
func (m *model) disturb(action int) {
	n := rapid.IntRange(1, 10).Draw(m.t, "In")
	switch action {
	case 10, 11:
		m.disk.FailSyncIn(n)
	case 12, 13:
		m.disk.FillIn(n)
	case 14:
		m.disk.StopIn(n)
	case 15:
		m.losesPower = !m.losesPower
	default:
		m.reopenAndCheck()
	}
}

// reopenInProcess closes a journal that has failed, and opens it again once the disk accepts writes.
func (m *model) reopenInProcess() {
	_ = m.journal.Close()
	journal, found, err := open(m.disk)
	if errors.Is(err, disker.ErrCrashed) {
		m.reopenAndCheck()
		return
	}
	if err != nil {
		m.disk.FillIn(0)
		m.disk.FailSyncIn(0)
		m.disk.Fill(false)
		m.reopenInProcess()
		return
	}
	m.journal = journal
	m.check(found)
}

// reopenAndCheck starts a new process on the disk, and checks the records that the journal
// then contains.
func (m *model) reopenAndCheck() {
	m.disk.Fill(false)
	m.disk.Restart()
	journal, found, err := open(m.disk)
	if err != nil {
		m.t.Fatalf("open: %v", err)
	}
	m.journal = journal
	m.check(found)
}

// check compares the records that an opened journal contains with the expected ones.
func (m *model) check(found [][]byte) {
	skip := int(m.journal.First() - m.first)
	if skip+len(found) < m.synced || skip+len(found) > len(m.records) {
		m.t.Fatalf("got %d records from index %d on; %d were appended, of which %d are durable", len(found), m.journal.First(), len(m.records), m.synced)
	}
	for i, r := range found {
		if !bytes.Equal(r, m.records[skip+i]) {
			m.t.Fatalf("record %d is %q, not %q", m.journal.First()+uint64(i), r, m.records[skip+i])
		}
	}
	m.records = m.records[:skip+len(found)]
	m.synced = len(m.records)
}

func BenchmarkAppendByOneWriter100Bytes(b *testing.B) { benchmarkAppend(b, 1) }

func BenchmarkAppendBy64Writers100Bytes(b *testing.B) { benchmarkAppend(b, 64) }

// benchmarkAppend measures concurrent appends to a disk, including the syncs.
func benchmarkAppend(b *testing.B, writers int) {
	b.Helper()
	j, err := journaler.Open(journaler.Settings{Folder: b.TempDir()}, func(uint64, []byte) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
	payload := make([]byte, 100)
	var all sync.WaitGroup
	b.ResetTimer()
	for w := range writers {
		all.Go(func() {
			for i := w; i < b.N; i += writers {
				if _, err := j.Append([][]byte{payload}); err != nil {
					b.Error(err)
				}
			}
		})
	}
	all.Wait()
}
