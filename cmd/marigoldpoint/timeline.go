package main

import (
	"context"
	"io"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
)

// timelineCommand merges the events of several processes into one timeline.
type timelineCommand struct {
	Operators []string `arg:"positional,required" placeholder:"IP:PORT" help:"operators' listeners of the processes"`
	Request   string   `help:"only the events of one request"`
	JSON      bool     `arg:"--json" help:"write JSON instead of text"`
	KeyFile   string   `arg:"--key-file" placeholder:"FILE" help:"file with the operators' bearer key"`
}

func (c *timelineCommand) run(ctx context.Context, out io.Writer) error {
	key, err := readKey(c.KeyFile)
	if err != nil {
		return usageError{err}
	}
	t := inspector.Gather(ctx, inspector.Settings{Addresses: c.Operators, Request: c.Request, Key: key})
	if c.JSON {
		return t.WriteJSON(out)
	}
	return t.WriteText(out)
}

// readKey reads a bearer key from a file. It returns no key if path is empty.
func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	secret, err := configurer.ReadSecret(path)
	if err != nil {
		return "", err
	}
	return secret.Reveal(), nil
}
