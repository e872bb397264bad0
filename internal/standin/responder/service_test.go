package responder

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// book posts a booking and returns the answer, or nil if the service cut the connection.
func book(s *Service, request, key string) (w *httptest.ResponseRecorder) {
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/bookings", strings.NewReader("press 4"))
	r.Header.Set(HeaderRequest, request)
	r.Header.Set(HeaderIdempotencyKey, key)
	w = httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

var _ = Describe("Service", func() {
	It("echoes the request and records runs by key and request", func() {
		s := NewService(Settings{Name: "press"})
		defer func() { _ = s.Close() }()
		var answer Answer
		Expect(json.Unmarshal(book(s, "r1", "k").Body.Bytes(), &answer)).To(Succeed())
		Expect(answer).To(Equal(Answer{Service: "press", Request: "r1", Method: "POST", Path: "/bookings", Run: 1, Bytes: 7}))
		book(s, "r2", "k")
		record := s.Record()
		Expect(record.MaxRunsPerKey).To(Equal(2))
		Expect(record.MaxRunsPerRequest).To(Equal(1))
		Expect(record.Posts).To(Equal(2))
	})

	It("doesn't run a call that it refuses or cuts before the run, and runs one that it cuts after it", func() {
		s := NewService(Settings{Faults: Faults{Refuse: 1, DieBefore: 1, DieAfter: 1}})
		defer func() { _ = s.Close() }()
		Expect(book(s, "r1", "a").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(book(s, "r2", "b")).To(BeNil())
		Expect(s.Record().Runs).To(BeEmpty())
		Expect(book(s, "r3", "c")).To(BeNil())
		Expect(s.Record().Runs[0].Outcome).To(Equal(Cut))
		Expect(book(s, "r4", "d").Code).To(Equal(http.StatusOK))
	})
})
