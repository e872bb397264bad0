package messenger_test

import (
	"encoding/binary"
	"net"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Guards against a process that ends by its memory since a peer, one that it has dialed too, announces
// messages that it does not send.
var _ = Describe("A message that announces more bytes than arrive", func() {
	It("takes memory for those that arrive only", func() {
		const arriving = 1 << 20
		near, far := net.Pipe()
		defer near.Close()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c := messenger.NewConn(far, messenger.Settings{SilenceLimit: time.Minute})
		head := binary.AppendUvarint([]byte{1}, messenger.MaxFrameBytes)
		_, err := near.Write(append(head, strings.Repeat("x", arriving)...))
		Expect(err).NotTo(HaveOccurred())
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", messenger.MaxFrameBytes/4))
		Expect(near.Close()).To(Succeed())
		Eventually(c.Done()).Should(BeClosed())
		Expect(c.Close()).To(Succeed())
	})
})
