package dialer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}
