package permitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
)

// store models a weight store that serves transfers sequentially, and engines that
// activate what they have fetched.
type store struct {
	transfer, activation time.Duration
	free                 time.Time
	met                  int
	ends                 map[permitter.Grant]time.Time
}

func (s *store) begin(now time.Time, g permitter.Grant) {
	if s.free.After(now) {
		s.met++
	} else {
		s.free = now
	}
	s.free = s.free.Add(s.transfer)
	s.ends[g] = s.free.Add(s.activation)
}

// run simulates loads for the given length and returns the number of loads started and
// how many of them overlapped with another transfer.
func (s *store) run(t *permitter.Table, from time.Time, length time.Duration) (begun, met int) {
	s.met = 0
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		for g, end := range s.ends {
			if !now.Before(end) {
				delete(s.ends, g)
				t.Finish(now, permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
			}
		}
		t.Request(now, request("w", begun, 1))
		for _, g := range t.Grant(now) {
			begun++
			s.begin(now, g)
		}
	}
	return begun, s.met
}

var _ = Describe("Pace", func() {
	overlapping := permitter.Settings{Rate: 4, Overlap: 4, Expiry: time.Minute}

	// Guards against calls stalling for loads while the store runs at half of its rate.
	// After a load's transfer has ended, its engine activates the adapter; the permit
	// is held to the end, and the next load waits for it. The fault was that the permit
	// covers work that does not involve the store.
	It("lets the store serve the next load while an engine activates", func() {
		s := &store{transfer: 240 * time.Millisecond, activation: 300 * time.Millisecond, ends: map[permitter.Grant]time.Time{}}
		t := permitter.NewTable(overlapping, 1, start, []string{})
		begun, met := s.run(t, start.Add(time.Second), time.Minute)
		Expect(begun).To(BeNumerically(">=", 220), "of 240 allowed by the rate")
		Expect(met).To(BeZero())

		serial := &store{transfer: s.transfer, activation: s.activation, ends: map[permitter.Grant]time.Time{}}
		one := permitter.NewTable(permitter.Settings{Rate: 4, Expiry: time.Minute}, 1, start, []string{})
		begun, _ = serial.run(one, start.Add(time.Second), time.Minute)
		Expect(begun).To(BeNumerically("<", 120), "one load at a time")
	})

	// Guards against every load taking several times as long as necessary. The store
	// becomes four times slower while permits continue at the declared rate. The fault
	// was to rely on the declared rate instead of the measured loads.
	It("returns to one load at a time when the store becomes slow", func() {
		s := &store{transfer: 240 * time.Millisecond, activation: 300 * time.Millisecond, ends: map[permitter.Grant]time.Time{}}
		t := permitter.NewTable(overlapping, 1, start, []string{})
		s.run(t, start.Add(time.Second), 20*time.Second)
		s.transfer = time.Second
		s.run(t, start.Add(21*time.Second), 10*time.Second)
		Expect(t.Held()).To(BeNumerically("<=", 2))
		begun, met := s.run(t, start.Add(31*time.Second), 20*time.Second)
		Expect(met).To(BeNumerically("<=", begun/2))
	})
})
