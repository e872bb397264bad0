package exchanger_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

var _ = DescribeTable("A body",
	func(method string, status int, fields http.Header, length int64, text string, framing exchanger.Framing, want error) {
		body := exchanger.NewBody(&http.Response{
			StatusCode: status, Header: fields, ContentLength: length, Body: io.NopCloser(strings.NewReader(text)),
			Request: &http.Request{Method: method},
		})
		Expect(body.Framing()).To(Equal(framing))
		got, err := io.ReadAll(body)
		Expect(string(got)).To(Equal(text))
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(want))
	},
	Entry("of events that ends with its connection", "POST", 200, eventFields, int64(-1), "data: x\n\n", exchanger.FramingConnection, nil),
	Entry("of events that ends inside one", "POST", 200, eventFields, int64(-1), "data: x\n\ndata: y\n", exchanger.FramingConnection, io.ErrUnexpectedEOF),
	Entry("of events that ends inside one at its length", "POST", 200, eventFields, int64(4), "data", exchanger.FramingLength, io.ErrUnexpectedEOF),
	Entry("of events that ends with its connection before the first", "POST", 200, eventFields, int64(-1), ": ping\n\n\n", exchanger.FramingConnection, io.ErrUnexpectedEOF),
	Entry("of no events, by its length", "POST", 200, eventFields, int64(0), "", exchanger.FramingLength, nil),
	Entry("of events in a content coding", "POST", 200, http.Header{"Content-Type": {"text/event-stream"}, "Content-Encoding": {"gzip"}}, int64(-1), "\x1f\x8b", exchanger.FramingConnection, nil),
	Entry("of another type that ends with its connection", "POST", 200, http.Header{}, int64(-1), "da", exchanger.FramingConnection, nil),
	Entry("that an answer to HEAD doesn't have", "HEAD", 200, eventFields, int64(-1), "", exchanger.FramingLength, nil),
	Entry("that an answer without content doesn't have", "POST", 204, eventFields, int64(-1), "", exchanger.FramingLength, nil),
)

var eventFields = http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}}
