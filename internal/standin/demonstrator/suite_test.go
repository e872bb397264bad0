package demonstrator

import (
	"context"
	"flag"
	"io"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestDemonstrator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demonstrator")
}

const (
	// testLimit bounds the waits of a test; it is not a performance requirement.
	testLimit = 60 * time.Second
	testPause = 5 * time.Millisecond
)

// deploy starts a small deployment with relays and the declared workload. It is
// closed at the end of the spec or its container.
func deploy(ctx context.Context) (*faultRun, *Deployment) {
	folder, err := os.MkdirTemp("", "demonstrator")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	r := Run{
		Workload: driver.Peachtree().WithAdapters(10), Entries: 3, Engines: 2, Services: 1,
		Slots: 4, MaxBatch: 16, TimeScale: 0.1, RateScale: 1, Seed: 1, Folder: folder,
	}
	s := FaultRun{Run: r}.settings()
	s.Services = 1
	d, err := NewDeployment(s) //nolint:contextcheck // Close ends it.
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	keys, err := r.declare(ctx, d, io.Discard)
	Expect(err).NotTo(HaveOccurred())
	f := newFaultRun(r, d, keys)
	DeferCleanup(f.client.CloseIdleConnections)
	return f, d
}

// restarted starts processes that are down and waits until all processes are
// ready.
func restarted(ctx context.Context, f *faultRun, names ...string) {
	GinkgoHelper()
	Expect(f.restart(ctx, names...)).To(Succeed())
	Expect(f.deployment.Ready(ctx)).To(Succeed())
}
