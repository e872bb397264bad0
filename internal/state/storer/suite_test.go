package storer

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

func TestStorer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Storer")
}
