package controller

import (
	"fmt"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// record records an event of the control host.
func (c *Control) record(kind recorder.Kind, revision uint64, format string, args ...any) {
	c.settings.Recorder.Record(recorder.Event{Kind: kind, Revision: revision, Detail: fmt.Sprintf(format, args...)})
}

// recordBackend records an event of a backend server.
func (c *Control) recordBackend(kind recorder.Kind, backend string, format string, args ...any) {
	c.settings.Recorder.Record(recorder.Event{Kind: kind, Backend: backend, Detail: fmt.Sprintf(format, args...)})
}
