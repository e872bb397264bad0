package continuer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestContinuer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Continuer")
}
