package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// expectUnknown checks that a request whose answer has the given text ends at once with an unknown outcome, on a
// new and on a kept connection that the server leaves open.
func expectUnknown(text string) {
	GinkgoHelper()
	for _, kept := range []bool{false, true} {
		response, err := exchangeOpen(text, kept)
		Expect(err).To(HaveOccurred(), "%+v", response)
		Expect(err).To(MatchError(exchanger.ErrSent))
	}
}

// exchangeOpen sends a request to a server that answers with the given text and leaves the connection open, and
// returns the answer. The connection must be closed after an error.
func exchangeOpen(text string, kept bool) (*http.Response, error) {
	GinkgoHelper()
	s := serve(func(conn net.Conn, reader *bufio.Reader) {
		if kept && !answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok") {
			return
		}
		answer(conn, reader, text)
		_, _ = io.Copy(io.Discard, reader)
	})
	p := exchanger.NewPool(exchanger.Settings{})
	DeferCleanup(p.Close)
	if kept {
		_, _, err := exchange(p, s.address(), "0")
		Expect(err).NotTo(HaveOccurred())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	DeferCleanup(cancel)
	_, response, err := p.Exchange(ctx, s.address(), func() *http.Request { return request("1") }, hasID("1"))
	if err != nil {
		Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange waited for its deadline")
		Expect(p.Connections(s.address())).To(BeZero())
	}
	return response, err
}

// Guards against an answer that is read from the body of another one, and against a wait for an answer that has
// already come: statuses below 100 were taken for those of interim answers.
var _ = Describe("An answer whose status is below 100", func() {
	const hidden = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	for _, status := range []string{"000", "001", "042", "099", "-00", "+99"} {
		DescribeTable(status+" is no answer", func(before, after string) { expectUnknown(before + status + after) },
			Entry("with a body", "HTTP/1.1 ", " x\r\nId: %s\r\nContent-Length: 2\r\n\r\nno"),
			Entry("with a status only", "HTTP/1.1 ", "\r\n\r\n"),
			Entry("with another answer in its body", "HTTP/1.1 ", " x\r\nId: %s\r\nContent-Length: "+strconv.Itoa(len(hidden))+"\r\n\r\n"+hidden),
			Entry("after an interim answer", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 ", " x\r\nId: %s\r\n\r\n"+hidden),
		)
	}
})
