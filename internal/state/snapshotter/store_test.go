package snapshotter_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

func TestSnapshotter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshotter")
}

// body returns the body of the snapshot with the index.
func body(index uint64) []byte { return bytes.Repeat([]byte{byte(index)}, 1000) }

func create(s *snapshotter.Store, index uint64) error {
	_, err := s.Create(snapshotter.Metadata{Index: index, Term: 1, Extra: []byte("extra")}, func(w io.Writer) error {
		_, err := w.Write(body(index))
		return err
	})
	return err
}

func open(d *disker.Disk) (*snapshotter.Store, []error) {
	s, damaged, err := snapshotter.OpenStore(snapshotter.Settings{Folder: "/s", FileSystem: d})
	Expect(err).NotTo(HaveOccurred())
	return s, damaged
}

// latest checks the body of the latest snapshot and returns its index, or 0 if there is
// no snapshot.
func latest(s *snapshotter.Store) uint64 {
	r, err := s.OpenLatest()
	Expect(err).NotTo(HaveOccurred())
	if r == nil {
		return 0
	}
	b, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(b).To(Equal(body(r.Metadata.Index)))
	Expect(r.Close()).To(Succeed())
	return r.Metadata.Index
}

var _ = Describe("Store", func() {
	// Guards against the loss of the snapshot or the vote in a crash, because a file is
	// replaced in place or its folder is not synced. The disk crashes at the n-th
	// durable operation while three snapshots and votes are written.
	It("loses nothing in a crash between any two durable operations", func() {
		n := 1
		for crashed := true; crashed; n++ {
			d := disker.NewDisk(rand.New(rand.NewPCG(uint64(n), 0)))
			s, _ := open(d)
			d.CrashIn(n)
			var made, term uint64
			crashed = false
			for i := uint64(1); i <= 3 && !crashed; i++ {
				if crashed = s.SaveHardState(snapshotter.HardState{Term: i, Vote: 2}) != nil; !crashed {
					term = i
					crashed = create(s, i) != nil
				}
				if !crashed {
					made = i
				}
			}
			d.Crash()
			d.Restart()
			s, damaged := open(d)
			Expect(damaged).To(BeEmpty())
			Expect(latest(s)).To(BeNumerically(">=", made))
			h, err := s.HardState()
			Expect(err).NotTo(HaveOccurred())
			Expect(h.Term).To(BeNumerically(">=", term))
		}
		Expect(n).To(BeNumerically(">", 20))
	})

	It("falls back to the predecessor of a damaged snapshot and retains two", func() {
		d := disker.NewDisk(rand.New(rand.NewPCG(1, 0)))
		s, _ := open(d)
		for i := uint64(1); i <= 3; i++ {
			Expect(create(s, i)).To(Succeed())
		}
		d.Damage("/s/snapshot-0000000000000003-0000000000000001", 500)
		s, damaged := open(d)
		Expect(damaged).To(HaveLen(1))
		var e journaler.ErrDamaged
		Expect(errors.As(damaged[0], &e)).To(BeTrue())
		Expect(latest(s)).To(Equal(uint64(2)))
		_, err := s.ReadPiece(1, 0, 10)
		var gone snapshotter.ErrSnapshotRemoved
		Expect(errors.As(err, &gone)).To(BeTrue())
	})

	// Guards against a large transfer that never completes, because it starts again at
	// offset 0 after each restart, or stores a piece at a wrong offset. The receiver
	// restarts during the transfer, pieces are delivered twice, and one is corrupted.
	It("receives a snapshot in pieces across restarts", func() {
		from, _ := open(disker.NewDisk(rand.New(rand.NewPCG(1, 0))))
		Expect(create(from, 7)).To(Succeed())
		d := disker.NewDisk(rand.New(rand.NewPCG(2, 0)))
		to, _ := open(d)
		offset, complete, garbled := int64(0), false, false
		for !complete {
			p, err := from.ReadPiece(7, offset, 300)
			Expect(err).NotTo(HaveOccurred())
			if offset == 600 && !garbled {
				garbled = true
				p.Data[0] ^= 1
			}
			next, done, err := to.Receive(p)
			Expect(err).NotTo(HaveOccurred())
			if next > 0 && !done {
				again, _, err := to.Receive(p)
				Expect(err).NotTo(HaveOccurred())
				Expect(again).To(Equal(next), "a duplicate piece must not change the offset")
				d.Crash()
				d.Restart()
				to, _ = open(d)
			}
			offset, complete = next, done
		}
		Expect(latest(to)).To(Equal(uint64(7)))
	})

	// Guards against a second vote in a term. The process ends after the vote was renamed into place
	// and before the folder is synced; the next process finds the vote, repeats it, and loses power.
	It("does not forget a vote that was read after the end of a process", func() {
		for seed := range uint64(20) {
			d := disker.NewDisk(rand.New(rand.NewPCG(seed, 0)))
			s, _ := open(d)
			Expect(s.SaveHardState(snapshotter.HardState{Term: 1, Vote: 1})).To(Succeed())
			const folderSync = 5
			d.StopIn(folderSync)
			Expect(s.SaveHardState(snapshotter.HardState{Term: 2, Vote: 2})).NotTo(Succeed())
			d.Restart()
			s, _ = open(d)
			found, err := s.HardState()
			Expect(err).NotTo(HaveOccurred())
			d.Crash()
			d.Restart()
			s, _ = open(d)
			Expect(s.HardState()).To(Equal(found))
		}
	})

	// Guards against a received snapshot that is lost with the journal that it replaced. The sync of
	// a piece fails, and later syncs succeed without writing the piece.
	It("receives a snapshot whole although the sync of a piece fails", func() {
		from, _ := open(disker.NewDisk(rand.New(rand.NewPCG(1, 0))))
		Expect(create(from, 7)).To(Succeed())
		for sync := 1; sync <= 10; sync++ {
			d := disker.NewDisk(rand.New(rand.NewPCG(2, 0)))
			to, _ := open(d)
			d.FailSyncIn(sync)
			for offset, complete := int64(0), false; !complete; {
				p, err := from.ReadPiece(7, offset, 300)
				Expect(err).NotTo(HaveOccurred())
				if offset, complete, err = to.Receive(p); err != nil {
					complete = false
				}
				if latest, ok := to.Latest(); ok && latest.Index == 7 {
					break
				}
			}
			d.Crash()
			d.Restart()
			to, damaged := open(d)
			Expect(damaged).To(BeEmpty())
			Expect(latest(to)).To(Equal(uint64(7)))
		}
	})

	// Guards against a full disk that stays full: a snapshot that could not be written must not keep
	// the space that it takes.
	It("removes a snapshot that could not be written", func() {
		d := disker.NewDisk(rand.New(rand.NewPCG(1, 0)))
		s, _ := open(d)
		const write = 2
		d.FillIn(write)
		Expect(create(s, 1)).NotTo(Succeed())
		Expect(d.List("/s")).To(BeEmpty())
		d.Fill(false)
		Expect(create(s, 1)).To(Succeed())
	})
})
