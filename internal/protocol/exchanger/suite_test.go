package exchanger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExchanger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchanger")
}
