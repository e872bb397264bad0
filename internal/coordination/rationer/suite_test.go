package rationer_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
}

func TestRationer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Rationer")
}
