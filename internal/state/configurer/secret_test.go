package configurer_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

var _ = Describe("Secret", func() {
	// Guards against a key in the log. When a struct with the key in an unexported field
	// is logged with %+v, fmt prints the field without calling its methods.
	It("is never printed, not even in an unexported field", func() {
		s := configurer.NewSecret("hunter2")
		holder := struct{ key configurer.Secret }{s}
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
			Expect(fmt.Sprintf(verb, s)).To(Equal("REDACTED"))
			Expect(fmt.Sprintf(verb, holder)).NotTo(Or(ContainSubstring("hunter2"), ContainSubstring("68756e74657232"), ContainSubstring("68756E74657232")))
		}
		Expect(json.Marshal(s)).To(BeEquivalentTo(`"REDACTED"`))
		Expect(s.Reveal()).To(Equal("hunter2"))
	})

	DescribeTable("is read from a file that only its owner and group can read",
		func(mode os.FileMode, content, fault string) {
			path := filepath.Join(GinkgoT().TempDir(), "key")
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
			Expect(os.Chmod(path, mode)).To(Succeed())
			s, err := configurer.ReadSecret(path)
			if fault == "" {
				Expect(err).NotTo(HaveOccurred())
				Expect(s.Reveal()).To(Equal("hunter2"))
				return
			}
			Expect(err).To(MatchError(ContainSubstring(fault)))
			Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
		},
		Entry("0600", os.FileMode(0o600), " hunter2\n", ""),
		Entry("0640", os.FileMode(0o640), "hunter2", ""),
		Entry("0644", os.FileMode(0o644), "hunter2", "mode 0644"),
		Entry("0660", os.FileMode(0o660), "hunter2", "mode 0660"),
		Entry("empty", os.FileMode(0o600), " \n", "empty secret"),
	)
})
