package storer

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// countKnown returns a report of an end whose run began when the entry knew the given revision.
func countKnown(life, known uint64) CountEnds {
	c := countEnd(life, false)
	c.Requests[0].Known = known
	return c
}

// Guards against a released request that is a suspect again at once. Several entries report an
// end, each when it has found that the backend server has ended, which takes up to five seconds:
// some of the reports are applied after an operator has released the request.
var _ = Describe("A suspect that an operator has released", func() {
	release := ClearSuspects{Names: []string{suspectName}, Released: true}
	quarantined := func() *machine {
		m := newMachine(Retention{})
		for life := range uint64(3) {
			m.mustDo(countEnd(life, false))
		}
		return m
	}
	expectNone := func(m *machine) {
		GinkgoHelper()
		_, known := suspectOf(m)
		Expect(known).To(BeFalse())
	}

	It("stays released when an end that was counted is reported late", func() {
		m := quarantined()
		m.mustDo(release)
		Expect(m.do(countEnd(1, false)).Verdict).To(Equal(VerdictStale))
		expectNone(m)
		Expect(m.do(release).Verdict).To(Equal(VerdictStale), "there is nothing to release")
	})

	It("stays released when an end is reported late whose run began before", func() {
		m := quarantined()
		before := m.Revision()
		m.mustDo(release)
		Expect(m.do(countKnown(9, before)).Verdict).To(Equal(VerdictStale))
		expectNone(m)
	})

	It("stays released after a deletion by the operators' API and after a snapshot", func() {
		m := quarantined()
		before := m.Revision()
		m.mustDo(DeleteResource{Key: Key{Kind: KindSuspect, Name: suspectName}})
		m = m.restoreFromSnapshot()
		Expect(m.do(countEnd(1, false)).Verdict).To(Equal(VerdictStale))
		Expect(m.do(countKnown(9, before)).Verdict).To(Equal(VerdictStale))
		expectNone(m)
	})

	It("is quarantined again after three more ends, also if entries report no revision", func() {
		for _, known := range []uint64{0, 4, 99} {
			m := quarantined()
			Expect(m.mustDo(release).Revision).To(BeEquivalentTo(4))
			for life := range uint64(3) {
				_, is := suspectOf(m)
				Expect(is).To(Equal(life > 0))
				m.mustDo(countKnown(10+life, known))
			}
			spec, _ := suspectOf(m)
			Expect(spec.Quarantined).To(BeTrue())
		}
	})

	It("counts ends of runs that began before an answer: only an operator's release excludes them", func() {
		m := quarantined()
		before := m.Revision()
		m.mustDo(ClearSuspects{Names: []string{suspectName}})
		m.mustDo(countKnown(9, before))
	})

	It("is restored from a snapshot of the version before releases were recorded", func() {
		// earlier is a snapshot with one suspect, which that version wrote.
		const earlier = "ae01736d617269676f6c64706f696e74207374617465020103040403050106a6011b00004e94914f0000021b000001a3185c5000031b0002260ff92900000419" +
			"2710051a000f42400619c3500700080109000a000b000c000d030e01a4010a0378203066306630663066306630663066306630663066306630663066306630663066040305a5" +
			"01617302070383a10100a10101a1010204f50501a2010102a4010a0378203066306630663066306630663066306630663066306630663066306630663066040105a301617302" +
			"070381a10100a2010202a4010a0378203066306630663066306630663066306630663066306630663066306630663066040205a301617302070382a10100a10101a2010302a4" +
			"010a0378203066306630663066306630663066306630663066306630663066306630663066040305a501617302070383a10100a10101a1010204f50501a301616902040301"
		data, err := hex.DecodeString(earlier)
		Expect(err).NotTo(HaveOccurred())
		m := &machine{Store: NewStore(Settings{}), index: 4, now: 1}
		Expect(m.Restore(bytes.NewReader(data), m.index)).To(Succeed())
		var again bytes.Buffer
		Expect(m.Snapshot(&again)).To(Succeed())
		Expect(again.Bytes()).To(Equal(data), "without a release the format is that of the earlier version")
		m.mustDo(release)
		Expect(m.do(countEnd(1, false)).Verdict).To(Equal(VerdictStale))
		expectNone(m)
	})

	It("is forgotten after a time, and if there are too many", func() {
		m := newMachine(Retention{MinEntries: 1})
		m.mustDo(countEnd(1, false))
		m.mustDo(release)
		m.now += Instant(releaseAge + time.Second)
		for m.Store.now < m.now {
			m.do(SetRetention{Retention: Retention{MinEntries: 1}})
		}
		m.mustDo(countEnd(1, false))
		m.mustDo(release)
		Expect(m.do(countEnd(1, false)).Verdict).To(Equal(VerdictStale))
		for i := range MaxReleases {
			name := fmt.Sprintf("%032x", i)
			m.mustDo(CountEnds{Life: 1, Requests: []EndedRequest{{Name: name}}})
			m.mustDo(ClearSuspects{Names: []string{name}, Released: true})
		}
		Expect(m.releases.count).To(Equal(MaxReleases))
		m.mustDo(countEnd(1, false))
	})
})

// TestPropertyReleaseHolds delivers reports of ends late, repeatedly and in any order, among
// releases by an operator, while a replica is restored from snapshots. It guards against a
// release that earlier ends undo, against one that hides later ends, and against replicas that
// differ.
func TestPropertyReleaseHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(Settings{}), NewStore(Settings{})
		var index, released uint64
		apply := func(c Command) Result {
			index++
			data, err := Encode(Envelope{Time: Instant(index), Command: c})
			if err != nil {
				t.Fatal(err)
			}
			b.Apply(index, data)
			return a.Apply(index, data).(Result)
		}
		// runs holds a report for each incarnation that ended; counted are the incarnations
		// whose ends must count, and excluded those that were counted before a release.
		var runs []CountEnds
		var counted, excluded []uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				runs = append(runs, countKnown(uint64(len(runs)), max(1, a.Revision())))
			case 2, 3:
				if len(runs) == 0 {
					continue
				}
				c := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
				apply(c)
				if c.Requests[0].Known >= released && !slices.Contains(excluded, c.Life) && !slices.Contains(counted, c.Life) {
					counted = append(counted, c.Life)
				}
			case 4:
				if result := apply(ClearSuspects{Names: []string{suspectName}, Released: true}); (result.Verdict == VerdictAccepted) != (len(counted) > 0) {
					t.Fatalf("release after %d ends: %v", len(counted), result.Verdict)
				}
				if len(counted) > 0 {
					released, excluded, counted = index, append(excluded, counted...), nil
				}
			case 5:
				b = restored(t, b, index)
			}
			spec := SuspectSpec{}
			r, known := a.Get(Key{Kind: KindSuspect, Name: suspectName})
			if known {
				spec = r.Spec.(SuspectSpec)
			}
			if len(spec.Lives) != min(len(counted), maxIncarnationEnds) || spec.Quarantined != (len(counted) >= QuarantineThreshold) {
				t.Fatalf("%+v where ends of %v count", spec, counted)
			}
		}
		if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("replicas differ")
		}
	})
}

// restored returns a store that is restored from a snapshot of s.
func restored(t *rapid.T, s *Store, index uint64) *Store {
	fresh := NewStore(Settings{})
	if err := fresh.Restore(bytes.NewReader(snapshotOf(t, s)), index); err != nil {
		t.Fatal(err)
	}
	return fresh
}
