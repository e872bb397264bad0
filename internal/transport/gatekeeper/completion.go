package gatekeeper

import (
	"net/http"

	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	contentJSON   = "application/json"
	contentStream = "text/event-stream"
)

// completion serves a chat or completion request.
func (x *exchange) completion(kind messenger.CallKind) *translator.Fault {
	body, fault := x.body()
	if fault != nil {
		return fault
	}
	c, err := translator.ParseCompletion(kind, body)
	if err != nil {
		return translator.Malformed(err)
	}
	key, err := translator.IdempotencyKey(x.r.Header)
	if err != nil {
		return translator.Malformed(err)
	}
	target, fault := x.resolve(c.Model)
	if fault != nil {
		return fault
	}
	rule, fault := x.rule(target.Adapter)
	if fault != nil {
		return fault
	}
	deadline, fault := x.deadline(rule)
	if fault != nil {
		return fault
	}
	sent, err := c.EngineBody(target.Name, rule.Priority)
	if err != nil {
		return translator.Malformed(err)
	}
	// A generation may run again as long as the caller received no part of it, unless
	// the caller limits it to one run by a key.
	if x.entry.settings.Entry.PromptCache == configurer.PromptCacheOff {
		c.Prefix = 0
	}
	q := &request{
		exchange:   x,
		deadline:   deadline,
		idempotent: key == "",
		stream:     c.Stream,
		call: router.Call{
			Pool:         router.Pool{Kind: storer.MemberKindEngine, Name: target.BaseModel},
			Version:      target.Name,
			PromptTokens: c.PromptTokens,
			Prefix:       c.Prefix,
		},
		dispatch: messenger.Dispatch{
			Request: x.id, Kind: kind, Workspace: target.Workspace,
			Version: target.Name, Source: target.Source, BaseModel: target.BaseModel,
			Priority: rule.Priority, Tokens: c.Tokens(), MaxTokens: c.MaxTokens,
			Idempotent: key == "", Stream: c.Stream,
			Method: http.MethodPost, Path: c.Path(), Body: sent,
		},
	}
	if key != "" {
		q.claimKey(key, body)
	}
	return q.serve()
}
