package prober

import (
	"math"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Fit", func() {
	It("returns the standard errors computed by hand", func() {
		// By hand: squares 10, products 18, residue 0.8 over 3 degrees of freedom.
		l := Fit([]Point{{1, 2}, {2, 4}, {3, 5}, {4, 8}, {5, 9}})
		Expect(l.Slope).To(BeNumerically("~", 1.8, 1e-12))
		Expect(l.Intercept).To(BeNumerically("~", 0.2, 1e-12))
		Expect(l.SlopeError).To(BeNumerically("~", math.Sqrt(0.8/3/10), 1e-12))
		Expect(l.InterceptError).To(BeNumerically("~", math.Sqrt(0.8/3*(1.0/5+9.0/10)), 1e-12))
	})

	It("returns NaN for what the points do not determine", func() {
		two := Fit([]Point{{1, 2}, {2, 4}})
		Expect(two.Slope).To(Equal(2.0))
		Expect(math.IsNaN(two.SlopeError)).To(BeTrue())
		Expect(math.IsNaN(Fit([]Point{{0.1, 2}, {0.1, 4}, {0.1, 9}}).Slope)).To(BeTrue())
	})
})

func TestPropertyFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, intercept := rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"), rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept")
		var points []Point
		for i := range rapid.IntRange(3, 20).Draw(t, "points") {
			points = append(points, Point{X: float64(i), Y: intercept + slope*float64(i)})
		}
		l := Fit(points)
		if math.Abs(l.Slope-slope) > 1e-8 || math.Abs(l.Intercept-intercept) > 1e-8 || l.SlopeError > 1e-8 {
			t.Fatalf("the line is %v", l)
		}
	})
}

var _ = Describe("UsageOf", func() {
	It("reads the usage of this process", func() {
		before, err := UsageOf(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Private).To(BeNumerically(">", 1<<20))
		Expect(before.Resident).To(BeNumerically(">", before.Private))
		_, err = UsageOf(-1)
		Expect(err).To(HaveOccurred())
	})
})
