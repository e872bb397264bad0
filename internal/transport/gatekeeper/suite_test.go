package gatekeeper_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGatekeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gatekeeper")
}
