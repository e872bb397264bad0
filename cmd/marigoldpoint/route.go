package main

import (
	"context"
	"io"
	"net/netip"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
)

// routeCommand asks an entry where a request would go.
type routeCommand struct {
	Entry   string `arg:"required" placeholder:"IP:PORT" help:"address of the metrics of an entry"`
	Host    string `arg:"required" placeholder:"HOST" help:"host of the request"`
	Path    string `arg:"required" help:"path of the request"`
	Model   string `placeholder:"NAME" help:"model of the request"`
	Adapter string `placeholder:"NAME" help:"adapter of the request"`
	Prompt  int    `placeholder:"N" help:"length of the prompt in tokens"`
	Answer  int    `placeholder:"N" help:"maximum length of the answer in tokens"`
	Parts   string `placeholder:"ID:TOKENS,..." help:"parts of the prompt, in order"`
	JSON    bool   `arg:"--json" help:"write JSON instead of text"`
}

func (c *routeCommand) run(ctx context.Context, out io.Writer) error {
	if _, err := netip.ParseAddrPort(c.Entry); err != nil {
		return usageError{errors.NotValidf("entry %q, which must be IP:PORT,", c.Entry)}
	}
	answer, err := inspector.QueryRoute(ctx, c.Entry, inspector.RouteQuery{
		Host: c.Host, Path: c.Path, Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, Answer: c.Answer, Parts: c.Parts,
	})
	switch {
	case errors.Is(err, errors.NotValid):
		return usageError{err}
	case err != nil:
		return errors.Annotate(err, "asking the entry")
	case c.JSON:
		return answer.WriteJSON(out)
	}
	return answer.WriteText(out)
}
