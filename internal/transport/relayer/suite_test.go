package relayer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelayer(t *testing.T) {
	RegisterFailHandler(Fail)
	// A spec waits for what must come, however busy the machine is.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "relayer")
}
