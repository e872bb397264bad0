package relayer_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Encoded paces that an entry sends to a companion: a CBOR array of one boolean.
const (
	fullPace  = "\x81\xf5"
	quietPace = "\x81\xf4"
)

// lastPace returns the pace that was sent last, or "" if none was.
func (e *entry) lastPace() string {
	_, rest, found := bytes.Cut(e.sent.Contents(), []byte(messenger.MethodPace))
	for found {
		var next []byte
		if _, next, found = bytes.Cut(rest, []byte(messenger.MethodPace)); found {
			rest = next
		}
	}
	for _, pace := range []string{fullPace, quietPace} {
		if bytes.Contains(rest, []byte(pace)) {
			return pace
		}
	}
	return ""
}

var _ = Describe("Connections to companions", func() {
	It("are read and replaced under the same lock", func() {
		// Guards against a data race: subscribed read the connection of a companion
		// after it had released the lock, while subscribe replaced it. An entry could
		// then take a companion for subscribed that was not, and use outdated state of
		// its engine. The race detector stopped one run in a hundred under load; this
		// test triggers it reliably, since every read without the lock races with the
		// next write.
		e := newPair(streamed, newBackend(stream), newBackend(stream))
		e.relayer.WatchConcurrently("s", 200)
	})

	It("use the full heartbeat pace only while a call waits for its answer", func() {
		// Guards against heartbeats at the full pace on every connection. An entry has
		// calls at a tenth of the engines, but keeps a connection to the companions of
		// all; between 68 entries and 117 companions four of five messages were
		// heartbeats.
		hold := make(chan struct{})
		e := newPair(streamed, newBackend(stream), newBackend(stream))
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			<-hold
			return messenger.Admitted{Version: m.Version}, nil
		}
		Eventually(e.lastPace).Should(Equal(quietPace))
		Consistently(e.lastPace).ShouldNot(Equal(fullPace))
		answered := e.callAsync()
		Eventually(e.lastPace).Should(Equal(fullPace))
		close(hold)
		Eventually(answered).Should(Receive())
		Eventually(e.lastPace).Should(Equal(quietPace))
	})
})
