package cacher

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCacher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cacher")
}
