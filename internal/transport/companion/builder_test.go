package companion

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("builder", func() {
	// Guards against a complete answer that lacks the tool calls and log probabilities
	// which a stream would contain: the engine is asked for a stream, and only text was
	// joined from its chunks.
	It("joins texts, tool calls and log probabilities, and keeps unknown members", func() {
		w := builder{chat: true}
		for _, chunk := range []string{
			`{"id":"c1","created":7,"model":"w/a@1","system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":null},"finish_reason":null}]}`,
			`{"id":"c1","choices":[{"index":0,"delta":{"reasoning_content":"first "},"logprobs":{"content":[{"token":"a"}]}},{"index":1,"delta":{"content":"other"}}]}`,
			`{"id":"c1","choices":[{"index":0,"delta":{"reasoning_content":"second","tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"lookup","arguments":"{\"title\""}}]},"logprobs":{"content":[{"token":"b"}]}}]}`,
			`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":\"Savannah\"}"}}]},"finish_reason":"tool_calls","stop_reason":12}]}`,
			`{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5,"completion_tokens_details":{"reasoning_tokens":1}}}`,
		} {
			Expect(w.add([]byte(chunk))).To(Succeed())
		}
		body, err := w.body()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"id":"c1","object":"chat.completion","created":7,"model":"w/a@1","system_fingerprint":"fp","choices":[
			{"index":0,"message":{"role":"assistant","content":null,"reasoning_content":"first second","tool_calls":[
				{"index":0,"id":"t1","type":"function","function":{"name":"lookup","arguments":"{\"title\":\"Savannah\"}"}}]},
				"logprobs":{"content":[{"token":"a"},{"token":"b"}]},"finish_reason":"tool_calls","stop_reason":12},
			{"index":1,"message":{"role":"assistant","content":"other"},"logprobs":null,"finish_reason":null}],
			"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5,"completion_tokens_details":{"reasoning_tokens":1}}}`))
	})

	It("joins completions", func() {
		var w builder
		Expect(w.add([]byte(`{"id":"c","model":"m","choices":[{"index":0,"text":" a","logprobs":{"tokens":["a"],"token_logprobs":[-1]}}]}`))).To(Succeed())
		Expect(w.add([]byte(`{"id":"c","model":"m","choices":[{"index":0,"text":" b","logprobs":{"tokens":["b"],"token_logprobs":[-2]},"finish_reason":"length"}]}`))).To(Succeed())
		body, err := w.body()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"id":"c","object":"text_completion","created":0,"model":"m","choices":[
			{"index":0,"text":" a b","logprobs":{"tokens":["a","b"],"token_logprobs":[-1,-2]},"finish_reason":"length"}]}`))
	})

	It("refuses choices and tool calls beyond their limits", func() {
		var w builder
		Expect(w.add([]byte(`{"choices":[{"index":100000000}]}`))).NotTo(Succeed())
		Expect(w.add([]byte(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":-1}]}}]}`))).NotTo(Succeed())
	})
})
