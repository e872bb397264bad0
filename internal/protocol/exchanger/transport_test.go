package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// post sends a body by a Transport and returns the body of the answer.
func post(address string, body []byte) (string, error) {
	GinkgoHelper()
	client := http.Client{Transport: exchanger.NewTransport()}
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

var _ = Describe("A transport of net/http", func() {
	// Guards against malformed answers that net/http accepts.
	DescribeTable("refuses a malformed answer",
		func(text string, want exchanger.Defect) {
			s := serve(func(conn net.Conn, reader *bufio.Reader) { answer(conn, reader, text) })
			_, err := post(s.address(), []byte("body"))
			Expect(err).To(HaveOccurred())
			Expect(exchanger.DefectOf(err)).To(Equal(want))
		},
		Entry("status 000", "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nno", exchanger.DefectStatus),
		Entry("status 099", "HTTP/1.1 099 x\r\nContent-Length: 2\r\n\r\nno", exchanger.DefectStatus),
		Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nno", exchanger.DefectFieldName),
		Entry("a blank after the name of a field", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA : c\r\n\r\nno", exchanger.DefectFieldName),
		Entry("a control byte in the name of a field", "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 2\r\n\r\nno", exchanger.DefectNone),
	)

	// Guards against a part of an answer that is taken for the complete one: net/http writes and reads at the same
	// time, and either may take the error of the connection.
	It("refuses an answer without a length whose connection is reset during the upload", func() {
		for range 100 {
			s := serve(duringUpload(false, 0, "HTTP/1.1 200 OK\r\n\r\npart", reset))
			got, err := post(s.address(), make([]byte, 16<<20))
			Expect(err).To(HaveOccurred(), got)
		}
	})

	It("accepts sound answers", func() {
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: x\r\n\r\nbody")
			_ = conn.Close()
		})
		Expect(post(s.address(), make([]byte, 1<<20))).To(Equal("body"))
	})
})
