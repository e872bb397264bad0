package separator

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSeparator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "separator")
}
