package driver

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Call is one call of a Schedule.
type Call struct {
	// Number counts the calls from 1.
	Number int
	Kind   CallKind
	// Intended is the moment at which the call is to be sent.
	Intended time.Duration
	// Workspace is the index in Workload.Workspaces.
	Workspace     int
	WorkspaceName string
	// Model is what the call names. Empty for a plain service.
	Model string
	// Version is the full name, WORKSPACE/ADAPTER@VERSION, that must answer. Empty
	// for a plain service.
	Version string
	// Prompt is the prompt of a completion or the one message of a chat.
	Prompt    string
	MaxTokens int
	// Key is the Idempotency-Key, or empty.
	Key string
	// Path is the path below the plain service.
	Path string
	// Resend asks for the same call once more, ResendAfter after the first.
	Resend      bool
	ResendAfter time.Duration
	// Deadline is the longest time for the answer, from Intended on.
	Deadline time.Duration
	// Rushing marks a call of the rush, InRush one that is intended during it.
	Rushing bool
	InRush  bool
}

// messages returns the messages of a chat.
func (c *Call) messages() []orderer.Message {
	return []orderer.Message{{Role: "user", Content: orderer.Content(c.Prompt)}}
}

// enginePrompt returns the prompt that the engine computes.
func (c *Call) enginePrompt() string {
	if c.Kind.isChat() {
		return orderer.ChatPrompt(c.messages())
	}
	return c.Prompt
}
