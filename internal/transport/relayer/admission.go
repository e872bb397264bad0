package relayer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// admission returns the admission request for the companion.
func (j *job) admission(wait time.Duration) messenger.Admit {
	params := messenger.Admit{
		Request: j.call.ID, Incarnation: j.choice.Incarnation,
		Model: j.call.Model, Adapter: j.call.Adapter,
		Parts: j.call.Parts, Tokens: j.call.PromptTokens, WaitMillis: wait.Milliseconds(),
		SlackMillis: max(0, j.slack().Milliseconds()),
		Movable:     j.returns < j.choice.Prompt.MaxRedirects() && j.resumeFrom == "", MaxExcessMillis: j.choice.Prompt.ExcessAfter(j.returns).Milliseconds(),
		ExpectedMillis: (j.choice.Load + j.choice.Backlog + j.choice.Turn).Milliseconds(),
		Urgency:        placer.Urgency(j.priority(), j.slack()), Resumed: j.answer.begun(), Limit: j.namedLimit(j.relayer.settings.Now()),
	}
	j.expectPrefill(&params)
	if j.rationed() {
		params.Ration, params.DeadlineMillis = true, max(1, j.timeLeft(j.relayer.settings.Now()).Milliseconds())
	}
	if params.Adapter != "" {
		params.Version = j.relayer.settings.View().Newest(params.Model + "/" + params.Adapter)
	}
	return params
}
