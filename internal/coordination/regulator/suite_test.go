package regulator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRegulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "regulator")
}
