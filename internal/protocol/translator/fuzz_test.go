package translator_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

// FuzzParseCompletion checks that a parsed request has a model name that round-trips,
// estimates within their limits, and an engine body that names exactly the given version.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"town/lyrics@3","messages":[{"role":"user","content":"?"}]}`,
		`{"model":"town/lyrics","prompt":"?","stream":true,"max_tokens":7}`,
		`{"model":"town/lyrics","prompt":["a","b"],"max_tokens":1e3}`,
		`{"model":"town/lyrics","prompt":[1,2,3],"model":"town/other@1"}`,
		`{"model":null,"messages":null}`, `{"MODEL":"town/a@1"}`, `{"model":"\u0074own/a@1","prompt":"\ud800"}`,
		`[]`, `null`, `{`, ``, `{"model":"town/lyrics@3","messages":[{}]}`, `{"model":"a/b@c@d","prompt":""}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		kind := messenger.CallKindCompletion
		if chat {
			kind = messenger.CallKindChat
		}
		c, err := translator.ParseCompletion(kind, body)
		if err != nil {
			if fault := translator.Malformed(err); fault.Outcome != messenger.OutcomeNotRun || !json.Valid(fault.Body("r")) {
				t.Fatalf("bad fault %+v", fault)
			}
			return
		}
		if again, err := translator.ParseModelName(c.Model.String()); err != nil || again != c.Model {
			t.Fatalf("name %+v is parsed as %+v, %v", c.Model, again, err)
		}
		if c.MaxTokens < 0 || c.MaxTokens > translator.MaxAnswerTokens || c.Tokens() <= 0 || c.PromptTokens > int64(len(body)) {
			t.Fatalf("estimates out of bounds: %+v", c)
		}
		const version = "town/lyrics@3"
		sent, err := c.EngineBody(version, 9)
		if err != nil {
			t.Fatal(err)
		}
		var read struct {
			Model    string `json:"model"`
			Priority int    `json:"priority"`
		}
		if err := json.Unmarshal(sent, &read); err != nil || read.Model != version || read.Priority != 0 {
			t.Fatalf("engine reads %+v, %v of %s", read, err, sent)
		}
	})
}

// FuzzHeaders checks that headers with arbitrary content cause no panic, and that parsed
// values are within their limits.
func FuzzHeaders(f *testing.F) {
	f.Add("Bearer x", "1500ms", "key", "close, x-a")
	f.Add("bearer", "-1s", "", ",,")
	f.Add("Basic eA==", "9999999h", "k\x00", "\xff")
	f.Fuzz(func(t *testing.T, authorization, deadline, key, connection string) {
		h := http.Header{
			"Authorization": {authorization}, "Marigoldpoint-Deadline": {deadline},
			"Idempotency-Key": {key}, "Connection": {connection},
		}
		if d, err := translator.Deadline(h); err == nil && d < 0 {
			t.Fatalf("deadline %v", d)
		}
		if k, err := translator.IdempotencyKey(h); err == nil && len(k) > translator.MaxKeyBytes {
			t.Fatalf("key of %d bytes", len(k))
		}
		for _, field := range translator.ForwardedFields(h) {
			if field.Name == "Authorization" || field.Name == "Connection" {
				t.Fatalf("%s is forwarded", field.Name)
			}
		}
		translator.BearerKey(h)
	})
}
