package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

// Guards against an answer with a field that was misread: one whose name holds a blank was not found by its name,
// so that the framing that it states was not used, and a line that begins with a blank was added to the field
// before it.
var _ = DescribeTable("An answer with a field whose name is not a token is no answer",
	func(line string) {
		fields := []string{"Id: %s", "Signed: yes", "Content-Length: 2"}
		for i := range len(fields) + 1 {
			head := strings.Join(slices.Insert(slices.Clone(fields), i, line), "\r\n")
			expectUnknown("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nno")
			expectUnknown("HTTP/1.1 103 x\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno")
			expectUnknown("HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 10<<10) + "\r\n" + head + "\r\n\r\nno")
		}
	},
	Entry("a blank in it", "A b: c"),
	Entry("a blank at its end", "Content-Length : 2"),
	Entry("a blank at the end of a framing", "Transfer-Encoding : chunked"),
	Entry("a blank before it", " A: b"),
	Entry("a tab before it", "\tA: b"),
	Entry("a blank line that is not empty", " "),
	Entry("a tab in it", "A\tb: c"),
	Entry("a tab at its end", "A\t: c"),
	Entry("a control byte", "A\x01b: c"),
	Entry("a zero byte", "A\x00: c"),
	Entry("a carriage return", "A\r: c"),
	Entry("a deleted byte", "A\x7f: c"),
	Entry("a byte that is not ASCII", "A\x80: c"),
	Entry("a separator", "A(b): c"),
	Entry("no name", ": c"),
	Entry("no colon", "A"),
)

// Guards against a sound answer that is refused since its fields have unusual, but legal, names.
var _ = DescribeTable("An answer with a field whose name is a token is complete",
	func(line, name, value string) {
		for _, kept := range []bool{false, true} {
			response, err := exchangeOpen("HTTP/1.1 200 OK\r\nId: %s\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok", kept)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Header[name]).To(Equal([]string{value}))
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("ok"))
		}
	},
	Entry("all characters", "!#$%&'*+-.^_`|~09azAZ: x", "!#$%&'*+-.^_`|~09azaz", "x"),
	Entry("a digit", "0: x", "0", "x"),
	Entry("no value", "A:", "A", ""),
	Entry("no blank before the value", "A:x", "A", "x"),
	Entry("blanks around the value", "A: \t x \t ", "A", "x"),
	Entry("a colon in the value", "A: b: c", "A", "b: c"),
)
