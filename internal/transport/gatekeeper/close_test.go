package gatekeeper

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Symptom: the race detector finds a wait group that is added to while it is
// waited for; embedded, an entry works on after Close has returned.
// Events: the process is closed at once while requests are in progress; their
// connections break; each cancels its attempt at the companion.
// Cause: Close waits for what runs beside the requests, but the requests, which
// it doesn't wait for, began more of that.
func TestClosedEntryBeginsNothingBeside(t *testing.T) {
	g := NewWithT(t)
	e := &Entry{}
	e.root, e.cancel = context.WithCancel(context.Background())
	began := make(chan struct{}, 2)
	begin := func(context.Context) { began <- struct{}{} }
	e.beside(context.Background(), time.Minute, begin)
	g.Expect(e.Close()).To(Succeed())
	g.Expect(began).To(HaveLen(1), "Close waits for what began before")
	e.beside(context.Background(), time.Minute, begin)
	e.settling.Wait()
	g.Expect(began).To(HaveLen(1))
}
