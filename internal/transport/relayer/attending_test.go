package relayer_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// The paces that an entry tells a companion, as they travel: a list of one truth value.
const (
	fullPace  = "\x81\xf5"
	quietPace = "\x81\xf4"
)

// lastPace returns the pace told last, or nothing.
func (e *entry) lastPace() string {
	_, told, found := bytes.Cut(e.sent.Contents(), []byte(messenger.MethodPace))
	for found {
		var next []byte
		if _, next, found = bytes.Cut(told, []byte(messenger.MethodPace)); found {
			told = next
		}
	}
	for _, pace := range []string{fullPace, quietPace} {
		if bytes.Contains(told, []byte(pace)) {
			return pace
		}
	}
	return ""
}

var _ = Describe("Connections to companions", func() {
	It("are read and replaced under one lock", func() {
		// Symptom: the race detector stops a run in a hundred under load: a write in
		// watch, a read in told. An engine's companion may be taken for one that tells
		// its state on the connection in use when it does not, and what the entry
		// believes of the engine grows old.
		// Events: one look at all companions asks whether one tells its state, while
		// the former look's task has just reached it again.
		// Cause: told gave the lock back before it read the connection. The race
		// detector names lines 249 and 228 of relayer.go; it needs no luck here, since
		// every read without the lock races with the next write.
		e := newPair(streamed, newBackend(stream), newBackend(stream))
		e.relayer.WatchConcurrently("s", 200)
	})

	It("beat at the full pace where a call waits for its answer, and seldom else", func() {
		// Symptom: four of five messages between 68 entries and 117 companions are
		// heartbeats.
		// Events: an entry has calls at a tenth of the engines, and keeps a connection
		// to the companions of all.
		// Cause: all connections beat as if a call waited there.
		hold := make(chan struct{})
		e := newPair(streamed, newBackend(stream), newBackend(stream))
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			<-hold
			return messenger.Admitted{Version: m.Version}, nil
		}
		Eventually(e.lastPace).Should(Equal(quietPace))
		Consistently(e.lastPace).ShouldNot(Equal(fullPace))
		answered := e.askMeanwhile()
		Eventually(e.lastPace).Should(Equal(fullPace))
		close(hold)
		Eventually(answered).Should(Receive())
		Eventually(e.lastPace).Should(Equal(quietPace))
	})
})
