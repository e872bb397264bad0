package driver

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Call is one call of a Schedule.
type Call struct {
	// Number is the number of the call in the schedule, from 1.
	Number int
	Kind   CallKind
	// Intended is the time at which the call is to be sent, since the start of the run.
	Intended time.Duration
	// Workspace is the index in Workload.Workspaces.
	Workspace     int
	WorkspaceName string
	// Model is the requested model name. Empty for a plain service.
	Model string
	// Version is the full name, WORKSPACE/ADAPTER@VERSION, of the version that must
	// answer. Empty for a plain service.
	Version string
	// Prompt is the prompt of a completion, the only message of a chat, or the body of a
	// call to a plain service.
	Prompt    string
	MaxTokens int
	// Key is the Idempotency-Key; empty for none.
	Key string
	// Path is the path within the plain service.
	Path string
	// Resend requests a duplicate of the call, sent ResendAfter after the first.
	Resend      bool
	ResendAfter time.Duration
	// Deadline is the maximum time for the answer, counted from Intended.
	Deadline time.Duration
	// Rushing marks a call of the rush, InRush any call that is intended during the rush.
	Rushing bool
	InRush  bool
}

// messages returns the messages of a chat.
func (c *Call) messages() []orderer.Message {
	return []orderer.Message{{Role: "user", Content: orderer.Content(c.Prompt)}}
}

// enginePrompt returns the prompt that the engine processes.
func (c *Call) enginePrompt() string {
	if c.Kind.isChat() {
		return orderer.ChatPrompt(c.messages())
	}
	return c.Prompt
}
