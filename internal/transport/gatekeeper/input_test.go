package gatekeeper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// Each kind of bad input gets its own error, is reported as not run, reveals nothing
// about other workspaces, and does not crash the entry.
var _ = Describe("Bad input", func() {
	const message = `"messages":[{"role":"user","content":"?"}]`
	var (
		c *companion
		e *entry
	)

	BeforeEach(func() {
		c = newCompanion("engine-1")
		e = newDeployment(c).entry(func(s *configurer.EntrySettings) {
			s.MaxBodyBytes, s.MaxHeaderBytes = configurer.Size(4<<10), configurer.Size(4<<10)
			s.BodyTimeout = configurer.Duration(100 * time.Millisecond)
		})
	})

	AfterEach(func() {
		Expect(c.dispatched.Load()).To(BeZero())
		Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusOK), "the entry still serves")
	})

	DescribeTable("is refused",
		func(method, path, body string, status int, code string, fields ...string) {
			a := e.call(method, path, body, fields...)
			Expect(a.StatusCode).To(Equal(status), a.body)
			Expect(a.outcome()).To(Equal("NotRun"))
			Expect(a.body).To(ContainSubstring(`"code":"` + code + `"`))
			Expect(a.body).To(ContainSubstring(`"outcome":"NotRun"`))
			Expect(a.Header.Get("Marigoldpoint-Request")).NotTo(BeEmpty())
		},
		Entry("no JSON", "POST", "/v1/chat/completions", `{"model":`, 400, "invalid_request"),
		Entry("null", "POST", "/v1/chat/completions", `null`, 400, "invalid_request"),
		Entry("a list", "POST", "/v1/chat/completions", `[]`, 400, "invalid_request"),
		Entry("deep nesting", "POST", "/v1/chat/completions", strings.Repeat("[", 4000), 400, "invalid_request"),
		Entry("too large", "POST", "/v1/chat/completions", `{"x":"`+strings.Repeat("x", 5000)+`"}`, 413, "body_too_large"),
		Entry("no model", "POST", "/v1/chat/completions", `{`+message+`}`, 400, "invalid_request"),
		Entry("a model that is not a name", "POST", "/v1/chat/completions", `{"model":"lyrics",`+message+`}`, 400, "invalid_request"),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"town/lyrics"}`, 400, "invalid_request"),
		Entry("no prompt", "POST", "/v1/completions", `{"model":"town/lyrics"}`, 400, "invalid_request"),
		Entry("max_tokens that is not a number", "POST", "/v1/chat/completions", `{"model":"town/lyrics","max_tokens":"9",`+message+`}`, 400, "invalid_request"),
		Entry("max_tokens below one", "POST", "/v1/chat/completions", `{"model":"town/lyrics","max_tokens":-1,`+message+`}`, 400, "invalid_request"),
		Entry("an unknown adapter", "POST", "/v1/chat/completions", `{"model":"town/nobody@1",`+message+`}`, 404, "model_not_found"),
		Entry("an unknown version", "POST", "/v1/chat/completions", `{"model":"town/lyrics@9",`+message+`}`, 404, "model_not_found"),
		Entry("no current version", "POST", "/v1/chat/completions", `{"model":"town/undecided",`+message+`}`, 404, "no_current_version"),
		Entry("no key", "POST", "/v1/chat/completions", chatBody, 401, "invalid_api_key", "Authorization", ""),
		Entry("an unknown key", "POST", "/v1/chat/completions", chatBody, 401, "invalid_api_key", "Authorization", "Bearer nobody"),
		Entry("a bad deadline", "POST", "/v1/chat/completions", chatBody, 400, "invalid_request", "Marigoldpoint-Deadline", "soon"),
		Entry("a long idempotency key", "POST", "/v1/chat/completions", chatBody, 400, "invalid_request", "Idempotency-Key", strings.Repeat("k", 300)),
		Entry("a large header", "POST", "/v1/chat/completions", chatBody, 431, "header_too_large", "X-Bomb", strings.Repeat("x", 5000)),
		Entry("another method", "GET", "/v1/chat/completions", "", 405, "method_not_allowed"),
		Entry("another path", "GET", "/v1/nothing", "", 404, "not_found"),
		Entry("an unknown model", "GET", "/v1/models/town/nobody@1", "", 404, "model_not_found"),
		Entry("an unknown service", "POST", "/services/nobody/x", "", 404, "service_not_found"),
		Entry("dot segments", "POST", "/services/booking/lookup/%2e%2e/presses", "", 400, "invalid_request"),
	)

	// Guards against callers that find out which adapters another workspace has.
	It("answers for another workspace's adapter as for one that does not exist", func() {
		call := func(model string) string {
			a := e.chat(`{"model":"`+model+`",`+message+`}`, "Authorization", "Bearer "+stranger)
			Expect(a.StatusCode).To(Equal(404))
			return strings.ReplaceAll(strings.ReplaceAll(a.body, model, "MODEL"), a.Header.Get("Marigoldpoint-Request"), "ID")
		}
		Expect(call("town/lyrics@3")).To(Equal(call("town/nobody@3")))
		Expect(call("town/undecided")).To(Equal(call("rival/nobody")))
		Expect(e.call("GET", "/v1/models", "", "Authorization", "Bearer "+stranger).body).NotTo(ContainSubstring("lyrics"))
		Expect(e.call("POST", "/services/booking/x", "", "Authorization", "Bearer "+stranger).StatusCode).To(Equal(404))
	})

	// Guards against a few slow callers that occupy all requests of an entry.
	It("disconnects a sender that is slow or breaks off", func() {
		for _, breaks := range []bool{false, true} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+bearer+"\r\nContent-Length: 100\r\n\r\n{")
			Expect(err).NotTo(HaveOccurred())
			if breaks {
				Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Header.Get("Marigoldpoint-Outcome")).To(Equal("NotRun"))
			Expect(got.StatusCode).To(BeElementOf(400, 408))
			Expect(conn.Close()).To(Succeed())
		}
	})
})
