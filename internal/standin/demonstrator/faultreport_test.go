package demonstrator

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// expectGolden compares got with a file under testdata. With -update it first
// writes got to the file.
func expectGolden(name string, got []byte) {
	GinkgoHelper()
	path := filepath.Join("testdata", name)
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, got, 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(string(want)))
}

var _ = Describe("a report of faults", func() {
	tried, none, once := int64(29), int64(0), int64(1)
	report := FaultReport{
		Format: FaultReportFormat, Workload: driver.PeachtreeName, Seed: 1, Rounds: 1, Seconds: 7.5,
		Faults: []FaultFigures{
			{
				Fault: EntryStop, Round: 1, Detail: "entry-2 stopped as planned in 2.4 s", Seconds: 4.1, RecoverySeconds: 0.1,
				Streams: 12, StreamsWhole: 12, FirstTokenMaxMillis: 659,
				Operators: OperatorFigures{Accepted: 178, Conflicts: 15, InForceMaxMillis: 165},
				Endings:   driver.EndingCounts{Calls: 73, Completed: 73},
				Promises:  []FaultPromiseFigures{{Promise: StopCutsNothing, Tried: 13}},
				CallPromises: []driver.PromiseFigures{
					{Promise: driver.AtMostOnce, Tried: &tried, Broken: &none},
					{Promise: driver.StaysInUse},
				},
			},
			{
				Fault: LeaderKill, Round: 1, Detail: "entry-1 killed", Seconds: 3.4, RecoverySeconds: 1.4, Streams: 12, StreamsWhole: 8,
				Promises: []FaultPromiseFigures{{Promise: ChangeTakenOnce, Tried: 40, Broken: 1, Examples: []string{"the count rose by 41"}}},
				CallPromises: []driver.PromiseFigures{
					{Promise: driver.AtMostOnce, Tried: &tried, Broken: &once, Examples: []string{"key k ran 2 times"}},
				},
				Notes: []string{"unexpected EOF"},
			},
		},
	}

	It("counts the broken promises", func() { Expect(report.Broken()).To(BeEquivalentTo(2)) })

	It("has the text and JSON format of the golden files", func() {
		var text, data bytes.Buffer
		for i := range report.Faults {
			Expect(report.Faults[i].WriteText(&text)).To(Succeed())
		}
		Expect(report.WriteSummary(&text)).To(Succeed())
		expectGolden("faults.txt", text.Bytes())
		Expect(report.WriteJSON(&data)).To(Succeed())
		expectGolden("faults.json", data.Bytes())
	})

	It("has faults that have names and descriptions and are found by name", func() {
		for _, f := range AllFaults() {
			Expect(f.description()).NotTo(BeEmpty(), f.String())
			found, err := ParseFaults(f.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal([]Fault{f}))
		}
		Expect(ParseFaults("All")).To(Equal(AllFaults()))
		_, err := ParseFaults("EntryStop,Nothing")
		Expect(err).To(MatchError(ContainSubstring("Nothing")))
	})
})
