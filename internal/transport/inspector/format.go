package inspector

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// clockLayout has microseconds, the resolution needed to distinguish two hops.
const clockLayout = "15:04:05.000000"

// WriteText writes one line per event, for human readers.
func (t Timeline) WriteText(w io.Writer) error {
	for i := range t.Events {
		if _, err := fmt.Fprintln(w, formatEvent(&t.Events[i])); err != nil {
			return errors.Trace(err)
		}
	}
	for _, m := range t.Missing {
		if _, err := fmt.Fprintf(w, "no events from %s: %s\n", m.Address, m.Cause); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// WriteJSON writes the timeline as one JSON document.
func (t Timeline) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(t))
}

func formatEvent(e *recorder.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%03d %-20s %-26s", e.Time.Time().Format(clockLayout), e.Time.Logical, e.Node, e.Kind)
	writeField(&b, "request", e.Request)
	writeField(&b, "workspace", e.Workspace)
	writeField(&b, "version", e.Version)
	writeField(&b, "backend", e.Backend)
	if e.Revision != 0 {
		fmt.Fprintf(&b, " revision=%d", e.Revision)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %s", e.Detail)
	}
	for _, c := range e.Choices {
		mark := "-"
		if c.Taken {
			mark = "+"
		}
		fmt.Fprintf(&b, "\n%s%s %s score=%.3f %s", strings.Repeat(" ", len(clockLayout)+6), mark, c.Backend, c.Score, c.Reason)
	}
	return b.String()
}

func writeField(b *strings.Builder, name, value string) {
	if value != "" {
		fmt.Fprintf(b, " %s=%s", name, value)
	}
}
