package splitter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSplitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Splitter")
}
