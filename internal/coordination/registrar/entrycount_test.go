package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
)

var _ = Describe("The count of entries", func() {
	It("counts the entries of a lost host until its retention ends", func() {
		now := time.Unix(0, 0)
		c := registrar.NewEntryCount(3 * time.Second)
		Expect(c.Total(now)).To(BeZero())
		c.Record(now, "h1", 5)
		c.Record(now, "h2", 4)
		now = now.Add(2 * time.Second)
		c.Record(now, "h1", 8)
		Expect(c.Total(now)).To(Equal(12))
		Expect(c.Total(now.Add(2 * time.Second))).To(Equal(8))
	})
})
