package driver_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func init() {
	// A fixed seed gives the same cases in every run.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10")
}

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

// expectGolden compares the text with a golden file.
func expectGolden(name string, text []byte) {
	GinkgoHelper()
	path := "testdata/" + name
	if *update {
		Expect(os.WriteFile(path, text, 0o644)).To(Succeed())
	}
	golden, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(text)).To(Equal(string(golden)))
}
