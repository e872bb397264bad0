package relayer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var _ = Describe("Reports on long prefills", func() {
	// Guards against reports that don't reach the choice, and against a separation whose decisions the
	// log does not show.
	It("separate calls, and the log tells the groups", func() {
		route := streamed
		route.MaxEventGap = 400 * time.Millisecond
		e := newEntryWith(placer.Settings{LongPrompts: separator.ModeSeparate}, route, engine, newBackend(stream), newBackend(stream))
		network, other := net.Pipe()
		conn := messenger.NewConn(network, messenger.Settings{HeartbeatInterval: time.Hour, SilenceLimit: 24 * time.Hour})
		DeferCleanup(func() { _, _ = conn.Close(), other.Close() })
		for i := range 2 {
			s := placer.LongPromptState{Name: fmt.Sprint("b", i), Incarnation: fmt.Sprint("i-", i), SharePercent: 20}
			params, err := messenger.EncodeNotice(s)
			Expect(err).NotTo(HaveOccurred())
			_, err = e.relayer.Handle(context.Background(), conn, messenger.MethodLongPromptState, []byte(params))
			Expect(err).NotTo(HaveOccurred())
		}
		e.call(context.Background(), map[string]string{"Model": "m", "Parts": "7:9000"})
		// The lines come in either order. The engines may be designated before the second report.
		Eventually(func() string { return string(e.log.Contents()) }).Should(And(
			MatchRegexp(`"Group":"long","Placed":"own","LongEngines":1`),
			MatchRegexp(`"Designated":1,"Before":0,"Target":1,"Serving":2,"Reports":(1,"Sum":0.2|2,"Sum":0.4),"ReportAge":.*engines designated for long prompts`),
		))
	})
})
