package starter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStarter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "starter")
}
