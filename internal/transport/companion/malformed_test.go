package companion

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	dto "github.com/prometheus/client_model/go"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Guards against a broken answer of a plain service that is passed on as complete, and against an operator who
// can't tell which service sends such answers.
var _ = DescribeTable("A malformed answer of a plain service is not passed on, and is counted",
	func(text, defect string) {
		network, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(network.Close)
		go func() {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}()
		b := &bench{control: &fakeControl{}}
		b.companion = b.compose(false, nil, orderer.NewService(orderer.Settings{Address: network.Addr().String()}))
		Expect(b.companion.Start(context.Background())).To(Succeed())
		DeferCleanup(b.companion.Close)
		l := newLink(b.companion)
		l.send(messenger.Dispatch{
			Request: "r1", Attempt: 1, Kind: messenger.CallKindService, Workspace: "w", Epoch: b.companion.epoch(),
			Method: http.MethodPost, Path: "/bookings",
		})
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeUnknown))
		var counted dto.Metric
		Expect(b.companion.metrics.defects.WithLabelValues(defect).Write(&counted)).To(Succeed())
		Expect(counted.GetCounter().GetValue()).To(BeEquivalentTo(1))
	},
	Entry("status 000", "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nno", "Status"),
	Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nno", "FieldName"),
)
