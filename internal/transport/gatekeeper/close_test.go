package gatekeeper

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against background tasks that start after Close: the process is closed while
// requests are in progress, their connections break, and each cancels its attempt at
// the companion. Close waits for the background tasks but not for the requests, which
// started more of them: the race detector found additions to a wait group during its
// Wait, and an embedded entry kept running after Close had returned.
func TestClosedEntryStartsNoTask(t *testing.T) {
	g := NewWithT(t)
	e := &Entry{}
	e.root, e.cancel = context.WithCancel(context.Background())
	began := make(chan struct{}, 2)
	begin := func(context.Context) { began <- struct{}{} }
	e.runDetached(context.Background(), time.Minute, begin)
	g.Expect(e.Close()).To(Succeed())
	g.Expect(began).To(HaveLen(1), "Close waits for tasks started before")
	e.runDetached(context.Background(), time.Minute, begin)
	e.background.Wait()
	g.Expect(began).To(HaveLen(1))
}
