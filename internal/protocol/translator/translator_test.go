package translator_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

var _ = Describe("Completion", func() {
	It("forwards unknown fields, and replaces model and priority", func() {
		c, err := translator.ParseCompletion(messenger.CallKindChat, []byte(`{
			"model": "town/lyrics", "messages": [{"role": "user", "content": [{"type": "text", "text": "?"}]}],
			"priority": -9, "logit_bias": {"7": 1}, "temperature": 0.50, "max_tokens": 10, "max_completion_tokens": 20}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Model).To(Equal(translator.Name{Workspace: "town", Adapter: "lyrics"}))
		Expect(c.MaxTokens).To(Equal(int64(20)))
		body, err := c.EngineBody("town/lyrics@3", 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring(`"temperature":0.50`), "numbers stay as they were written")
		Expect(body).To(MatchJSON(`{"model": "town/lyrics@3", "messages": [{"role": "user", "content": [{"type": "text", "text": "?"}]}],
			"priority": 2, "logit_bias": {"7": 1}, "temperature": 0.50, "max_tokens": 10, "max_completion_tokens": 20}`))
	})

	// Guards against an entry that checks one model name while the engine runs another: a
	// caller writes the field twice, and two parsers disagree on which value counts.
	It("sends one model if the caller wrote two", func() {
		c, err := translator.ParseCompletion(messenger.CallKindCompletion, []byte(`{"model":"rival/a@1","prompt":"?","model":"town/b@2","MODEL":"rival/c@3"}`))
		Expect(err).NotTo(HaveOccurred())
		body, err := c.EngineBody("town/b@2", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(strings.ToLower(string(body)), `"model"`)).To(Equal(1))
		Expect(string(body)).NotTo(ContainSubstring("rival"))
	})

	It("has the same prefix for prompts with the same beginning", func() {
		prefix := func(content string) uint64 {
			c, err := translator.ParseCompletion(messenger.CallKindCompletion, []byte(`{"model":"town/a@1","prompt":"`+content+`"}`))
			Expect(err).NotTo(HaveOccurred())
			return c.Prefix
		}
		system := strings.Repeat("You clear rights. ", 100)
		Expect(prefix(system + "one")).To(Equal(prefix(system + "two")))
		Expect(prefix("one")).NotTo(Equal(prefix("two")))
	})
})

var _ = Describe("Headers", func() {
	It("are parsed for key and deadline", func() {
		h := http.Header{}
		h.Set("Authorization", "bearer abc")
		h.Set("Marigoldpoint-Deadline", "1500ms")
		Expect(translator.BearerKey(h)).To(Equal("abc"))
		Expect(translator.Deadline(h)).To(Equal(1500 * time.Millisecond))
		h.Add("Idempotency-Key", "a")
		h.Add("Idempotency-Key", "b")
		_, err := translator.IdempotencyKey(h)
		Expect(err).To(HaveOccurred(), "two keys")
	})

	It("never contain the caller's bearer key for a service, or a service's outcome for the caller", func() {
		h := http.Header{"Authorization": {"Bearer abc"}, "Connection": {"x-hop"}, "X-Hop": {"1"}, "X-Case": {"2"}}
		Expect(translator.ForwardedFields(h)).To(Equal([]messenger.HeaderField{{Name: "X-Case", Value: "2"}}))
		to := http.Header{}
		translator.CopyAnswerHeader(to, []messenger.HeaderField{{Name: "marigoldpoint-outcome", Value: "Completed"}, {Name: "x-a", Value: "1"}})
		Expect(to).To(Equal(http.Header{"X-A": {"1"}}))
	})
})

var _ = Describe("Fault", func() {
	It("is encoded in the format of OpenAI with the outcome", func() {
		f := translator.NewFault(http.StatusTooManyRequests, translator.CodeOverShare, "the workspace is over its share")
		f.Param, f.RetryAfter = "model", 1200*time.Millisecond
		w := httptest.NewRecorder()
		f.Write(w, "entry-1")
		got := w.Result()
		Expect(got.Header).To(HaveKeyWithValue("Retry-After", []string{"2"}))
		Expect(got.Header).To(HaveKeyWithValue("Retry-After-Ms", []string{"1200"}))
		Expect(got.Header).To(HaveKeyWithValue("X-Should-Retry", []string{"true"}))
		expectGolden("fault.json", w.Body.String())
		f.Status, f.Outcome = http.StatusBadGateway, messenger.OutcomeUnknown
		expectGolden("fault.event", string(f.Event("entry-1")))
		w = httptest.NewRecorder()
		f.Write(w, "entry-1")
		Expect(w.Result().Header).To(HaveKeyWithValue("X-Should-Retry", []string{"false"}), "it may have run")
	})
})

// expectGolden compares text with a file in testdata. If UPDATE_GOLDEN is set, it
// overwrites the file first.
func expectGolden(name, text string) {
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
}
