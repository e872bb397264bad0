package relayer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelayer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relayer")
}
