package demonstrator

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an alarm on a metric that the operating page does not explain,
// because a metric was added without documentation.
var _ = Describe("OPERATING.md", func() {
	It("names every metric that the processes export", func() {
		page, err := os.ReadFile("../../../docs/OPERATING.md")
		Expect(err).NotTo(HaveOccurred())
		d, err := NewDeployment(Settings{Entries: 1, Engines: 1, Services: 1, Folder: GinkgoT().TempDir()})
		Expect(err).NotTo(HaveOccurred())
		defer d.Close()
		for _, name := range d.Names() {
			families, err := d.Process(name).Registry().Gather()
			Expect(err).NotTo(HaveOccurred())
			for _, f := range families {
				metric := strings.TrimPrefix(f.GetName(), "marigoldpoint_")
				Expect(string(page)).To(ContainSubstring("`"+metric+"`"), "metric of %s", name)
			}
		}
	})
})
