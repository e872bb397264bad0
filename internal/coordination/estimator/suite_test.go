package estimator_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestEstimator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimator")
}
