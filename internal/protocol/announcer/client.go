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

// announceTimeout limits one announcement by a client.
const announceTimeout = 5 * time.Second

// DefaultInterval is the time between two announcements of a backend server.
const DefaultInterval = 2 * time.Second

// Client announces a backend server to one companion.
type Client struct {
	// Companion is the IP address and port of the operators' listener of the companion.
	Companion string
	// Key is the operators' key; the zero value means that the listener requires none.
	Key configurer.Secret
	// HTTP sends the announcements; it must not be nil.
	HTTP *http.Client
}

// Announce sends a to the companion once. If the companion refuses it, the error is an
// *Answer.
func (c Client) Announce(ctx context.Context, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Annotate(err, "encoding the announcement")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Companion+Path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "invalid companion address")
	}
	r.Header.Set(headerContentType, mediaType)
	if key := c.Key.Reveal(); key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return errors.Annotate(err, "sending the announcement")
	}
	defer response.Body.Close()
	var answer Answer
	err = json.NewDecoder(io.LimitReader(response.Body, MaxBytes)).Decode(&answer)
	switch {
	case err != nil || answer.Reason.status() != response.StatusCode:
		return errors.Errorf("announcement: status %d without a valid answer of a companion", response.StatusCode)
	case answer.Reason != ReasonAccepted:
		return &answer
	}
	return nil
}

// AnnouncePeriodically announces the result of current at every interval until ctx ends. It
// calls onChange with each result that differs from the previous one; nil means success. An
// error of current counts as a result.
func (c Client) AnnouncePeriodically(ctx context.Context, interval time.Duration, current func(context.Context) (Announcement, error), onChange func(error)) {
	lastResult := "never announced"
	for {
		a, err := current(ctx)
		if err == nil {
			err = c.Announce(ctx, a)
		}
		result := ""
		if err != nil {
			result = err.Error()
		}
		if ctx.Err() != nil {
			return
		}
		if result != lastResult {
			onChange(err)
		}
		lastResult = result
		if !pauser.Pause(ctx, interval) {
			return
		}
	}
}
