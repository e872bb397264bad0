package responder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"

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

// post posts a booking over a connection and returns the length of the body that the service
// stated, and the error of reading it.
func post(address, request string) (length int64, body string, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/bookings", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(HeaderRequest, request)
	got, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	Expect(err).NotTo(HaveOccurred())
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	return got.ContentLength, string(data), err
}

var _ = Describe("An answer with a fault", func() {
	DescribeTable("is recorded as whole or cut",
		func(f Faults, stated, whole bool, outcome Outcome, want error) {
			s := NewService(Settings{Faults: f})
			defer func() { _ = s.Close() }()
			address, err := s.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			length, body, err := post(address, "r1")
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
			if stated {
				Expect(length).To(BeNumerically(">", 0))
			} else {
				Expect(length).To(BeEquivalentTo(-1))
			}
			Expect(json.Valid([]byte(body))).To(Equal(whole))
			Expect(s.Record().Runs[0].Outcome).To(Equal(outcome))
		},
		Entry("without framing", Faults{Unframed: true}, false, true, Answered, nil),
		Entry("cut without framing", Faults{Unframed: true, CutAnswers: 1, CutAfter: 5}, false, false, Cut, nil),
		Entry("reset without framing", Faults{Unframed: true, CutAnswers: 1, CutAfter: 5, CutByReset: true}, false, false, Cut, syscall.ECONNRESET),
		Entry("cut", Faults{CutAnswers: 1, CutAfter: 5}, true, false, Cut, io.ErrUnexpectedEOF),
		Entry("reset", Faults{CutAnswers: 1, CutAfter: 5, CutByReset: true}, true, false, Cut, syscall.ECONNRESET),
		Entry("cut after its end", Faults{CutAnswers: 1, CutAfter: 1000}, true, true, Answered, nil),
	)

	It("is followed by one without", func() {
		s := NewService(Settings{Faults: Faults{CutAnswers: 1}})
		defer func() { _ = s.Close() }()
		address, err := s.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = post(address, "r1")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		_, _, err = post(address, "r2")
		Expect(err).NotTo(HaveOccurred())
	})
})

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
