package scheduler

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "100")
}

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scheduler")
}

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func all(Item) bool { return true }
