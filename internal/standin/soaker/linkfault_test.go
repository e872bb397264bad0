package soaker_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/soaker"
)

var update = flag.Bool("update", false, "write the golden file of the link faults")

// Guards against schedules that change when link faults are added or the code is changed. The seeds
// that found faults of the past would then no longer stand for them.
var _ = Describe("A seed's schedule", func() {
	names := []string{"entry-1", "entry-2", "entry-3", "engine-1", "engine-2", "engine-3", "engine-4", "service-1", "service-2"}
	golden := func(file string) string {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		Expect(err).NotTo(HaveOccurred())
		return string(text)
	}
	lines := func(links bool, of func([]soaker.Event, []soaker.LinkEvent) []soaker.Disturbance) string {
		var text strings.Builder
		for seed := uint64(1); seed <= 3; seed++ {
			fmt.Fprintln(&text, "seed", seed)
			for _, d := range of(soaker.Draw(seed, names, 12*time.Second, links)) {
				fmt.Fprintln(&text, d)
			}
		}
		return text.String()
	}
	processes := func(events []soaker.Event, _ []soaker.LinkEvent) []soaker.Disturbance {
		return soaker.Merge(events, nil)
	}

	// The file was written by the code that had no link faults yet.
	It("has the same disturbances of processes with and without link faults", func() {
		Expect(lines(false, soaker.Merge)).To(Equal(golden("processes.txt")))
		Expect(lines(true, processes)).To(Equal(golden("processes.txt")))
	})

	It("has the same link faults as ever", func() {
		text := lines(true, soaker.Merge)
		if *update {
			Expect(os.WriteFile(filepath.Join("testdata", "links.txt"), []byte(text), 0o600)).To(Succeed())
		}
		Expect(text).To(Equal(golden("links.txt")))
	})

	It("has link faults of all kinds", func() {
		_, links := soaker.Draw(1, names, 2*time.Minute, true)
		kinds := map[soaker.LinkFault]int{}
		for _, e := range links {
			kinds[e.Fault]++
			Expect(e.Length).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", 2500*time.Millisecond)))
			if e.Fault != soaker.Delay {
				Expect(e.Delay).To(BeZero())
			} else {
				Expect(e.Delay).To(BeNumerically(">", 0))
			}
		}
		Expect(kinds).To(HaveLen(5))
	})
})
