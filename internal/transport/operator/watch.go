package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// watchWriteTimeout bounds the write of one line to a watcher. Without it, a watcher that
// no longer reads would occupy one of the MaxWatchers indefinitely.
const watchWriteTimeout = 10 * time.Second

//go:generate stringer -type=EventType -trimprefix=Event

// EventType is the type of an event of a watch.
type EventType int

// The types of events.
const (
	// EventPut means that Resource was written at Revision.
	EventPut EventType = iota
	// EventDeleted means that Resource, in its last state, was deleted at Revision.
	EventDeleted
	// EventBookmark means that all changes up to Revision have been sent. It is also sent
	// periodically while there are no changes, so that a watcher without new lines can
	// conclude that its connection is lost.
	EventBookmark
	// EventProblem means that the watch ends for the reason in Problem.
	EventProblem
)

// Event is one line of a watch.
type Event struct {
	Type     EventType
	Revision uint64
	Resource *storer.Resource `json:",omitempty"`
	Problem  *Problem         `json:",omitempty"`
}

// MarshalText returns the type's name.
func (e EventType) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText is the inverse of MarshalText.
func (e *EventType) UnmarshalText(text []byte) error {
	for v := EventPut; v <= EventProblem; v++ {
		if v.String() == string(text) {
			*e = v
			return nil
		}
	}
	return errors.Errorf("unknown event type %q", text)
}

// watch streams the changes after a revision. An empty name in key watches all resources
// of the kind.
func (a *API) watch(w http.ResponseWriter, r *http.Request, key storer.Key) {
	wanted, err := strconv.ParseBool(r.URL.Query().Get(queryWatch))
	if err != nil || !wanted {
		a.writeProblem(w, newProblem(ReasonInvalid, "Watch is true or left out"))
		return
	}
	after, err := parseCount(r.URL.Query(), queryAfter)
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	select {
	case a.watchers <- struct{}{}:
	default:
		a.writeProblem(w, newProblem(ReasonUnavailable, "too many watches are in progress"))
		return
	}
	a.metrics.watchers.Inc()
	defer func() {
		a.metrics.watchers.Dec()
		<-a.watchers
	}()
	s := &stream{api: a, writer: w, control: http.NewResponseController(w), key: key, after: after}
	if r.URL.Query().Get(queryAfter) == "" {
		if err := s.startAtCurrentRevision(r.Context()); err != nil {
			a.writeProblem(w, problemFromError(ReasonUnavailable, err))
			return
		}
	}
	s.run(r.Context())
}

// stream is one watch.
type stream struct {
	api     *API
	writer  http.ResponseWriter
	control *http.ResponseController
	key     storer.Key
	// after is the revision up to which all changes have been sent.
	after uint64
	// headerSent means that the response header has been sent.
	headerSent bool
}

// startAtCurrentRevision makes the watch start at the current revision.
func (s *stream) startAtCurrentRevision(ctx context.Context) error {
	answer, err := s.read(ctx, distributor.Read{Kind: distributor.ReadGet, Key: s.key})
	s.after = answer.Revision
	return err
}

func (s *stream) read(ctx context.Context, r distributor.Read) (distributor.ReadAnswer, error) {
	settings := &s.api.settings
	r.TimeoutMillis = millis(settings.Timeout)
	ctx, cancel := context.WithTimeout(ctx, settings.Timeout+settings.WatchHeartbeat)
	defer cancel()
	return settings.Control.Read(ctx, r)
}

// run sends changes until the watcher disconnects or the watch can't continue.
func (s *stream) run(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := s.read(ctx, distributor.Read{
			Kind:       distributor.ReadSince,
			After:      s.after,
			WaitMillis: s.waitMillis(),
		})
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.endWith(problemFromError(ReasonUnavailable, err))
			return
		case answer.Compacted:
			p := newProblem(ReasonCompacted, "the history no longer reaches back to the revision: list again, and watch from there")
			p.Revision = answer.Revision
			s.endWith(p)
			return
		}
		if err := s.sendChanges(answer); err != nil {
			return
		}
	}
}

// waitMillis returns how long the control host may wait for a change, in milliseconds.
// The first response is sent at once, so that a watcher learns whether the watch is
// established.
func (s *stream) waitMillis() int64 {
	if !s.headerSent {
		return 0
	}
	return millis(s.api.settings.WatchHeartbeat)
}

// sendChanges sends the changes that match the watch, and then a bookmark.
func (s *stream) sendChanges(answer distributor.ReadAnswer) error {
	s.sendHeader()
	for i := range answer.Changes {
		c := &answer.Changes[i]
		if !s.matches(c.Resource.Key()) {
			continue
		}
		e := Event{Type: EventPut, Revision: c.Revision, Resource: &c.Resource}
		if c.Deleted {
			e.Type = EventDeleted
		}
		if err := s.send(e); err != nil {
			return errors.Trace(err)
		}
	}
	s.after = max(s.after, answer.Revision)
	if err := s.send(Event{Type: EventBookmark, Revision: s.after}); err != nil {
		return errors.Trace(err)
	}
	if err := s.control.Flush(); err != nil {
		return errors.Trace(err)
	}
	_ = s.control.SetWriteDeadline(time.Time{})
	return nil
}

// matches reports whether a resource is watched.
func (s *stream) matches(k storer.Key) bool {
	return k.Kind == s.key.Kind &&
		(s.key.Workspace == "" || k.Workspace == s.key.Workspace) &&
		(s.key.Name == "" || k.Name == s.key.Name)
}

func (s *stream) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.writer.Header().Set(headerContentType, typeJSONLines)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *stream) send(e Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Annotate(err, "encode event")
	}
	// Only writers in tests do not support deadlines.
	_ = s.control.SetWriteDeadline(s.api.settings.Now().Add(watchWriteTimeout))
	_, err = s.writer.Write(append(data, '\n'))
	return errors.Trace(err)
}

// endWith ends the watch with a problem.
func (s *stream) endWith(p *Problem) {
	if !s.headerSent {
		s.api.writeProblem(s.writer, p)
		return
	}
	if s.send(Event{Type: EventProblem, Revision: s.after, Problem: p}) == nil {
		_ = s.control.Flush()
	}
}
