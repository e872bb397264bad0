package placer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}
