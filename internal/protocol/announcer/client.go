package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// clientLimit bounds one announcement by a client.
const clientLimit = 5 * time.Second

// DefaultInterval is the time between two announcements of a backend server.
const DefaultInterval = 2 * time.Second

// Client announces a backend server to one companion.
type Client struct {
	// Companion is the IP and port of the companion's operators' listener.
	Companion string
	// Key is the operators' key; the zero value for a listener without one.
	Key configurer.Secret
	// HTTP must not be nil.
	HTTP *http.Client
}

// Announce hands a over once. A refusal is an *Answer.
func (c Client) Announce(ctx context.Context, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, clientLimit)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Annotate(err, "writing the announcement")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Companion+Path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "companion's address")
	}
	r.Header.Set(headerContentType, mediaType)
	if key := c.Key.Reveal(); key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return errors.Annotate(err, "announcing")
	}
	defer response.Body.Close()
	var answer Answer
	err = json.NewDecoder(io.LimitReader(response.Body, MaxBytes)).Decode(&answer)
	switch {
	case err != nil || answer.Reason.status() != response.StatusCode:
		return errors.Errorf("announcing: status %d without the answer of a companion", response.StatusCode)
	case answer.Reason != ReasonAccepted:
		return &answer
	}
	return nil
}

// Repeat announces what current returns until ctx ends, at every interval. It
// gives told each result that differs from the one before.
func (c Client) AnnouncePeriodically(ctx context.Context, interval time.Duration, current func(context.Context) (Announcement, error), told func(error)) {
	last := "never announced"
	for {
		a, err := current(ctx)
		if err == nil {
			err = c.Announce(ctx, a)
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		if ctx.Err() != nil {
			return
		}
		if text != last {
			told(err)
		}
		last = text
		if !pauser.Pause(ctx, interval) {
			return
		}
	}
}
