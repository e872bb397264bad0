package responder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResponder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "responder")
}
