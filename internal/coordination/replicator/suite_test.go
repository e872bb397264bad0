package replicator

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestReplicator(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replicator")
}
