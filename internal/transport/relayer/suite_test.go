package relayer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelayer(t *testing.T) {
	RegisterFailHandler(Fail)
	// The long timeout keeps specs from failing on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "relayer")
}
