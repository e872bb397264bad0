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

// watchWriteTimeout bounds the time to hand a line to a watcher. One that no
// longer reads would hold its place among the watchers for ever.
const watchWriteTimeout = 10 * time.Second

//go:generate stringer -type=EventType -trimprefix=Event

// EventType tells what a line of a watch says.
type EventType int

// The types of events.
const (
	// EventPut means that Resource was written at Revision.
	EventPut EventType = iota
	// EventDeleted means that Resource, as it was last, ended at Revision.
	EventDeleted
	// EventBookmark means that all is told up to Revision. It comes in quiet
	// times too: a watcher that sees no line for a while has lost its
	// connection.
	EventBookmark
	// EventProblem means that the watch ends, for the reason in Problem.
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

// watch answers with the changes after a revision, as they come. An empty name
// in key watches all resources of the kind.
func (a *API) watch(w http.ResponseWriter, r *http.Request, key storer.Key) {
	wanted, err := strconv.ParseBool(r.URL.Query().Get(queryWatch))
	if err != nil || !wanted {
		a.writeProblem(w, problem(ReasonInvalid, "Watch is true or left out"))
		return
	}
	after, err := parseCount(r.URL.Query(), queryAfter)
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	select {
	case a.watchers <- struct{}{}:
	default:
		a.writeProblem(w, problem(ReasonUnavailable, "too many watches are in progress"))
		return
	}
	a.metrics.watchers.Inc()
	defer func() {
		a.metrics.watchers.Dec()
		<-a.watchers
	}()
	s := &stream{api: a, writer: w, control: http.NewResponseController(w), key: key, after: after}
	if r.URL.Query().Get(queryAfter) == "" {
		if err := s.beginNow(r.Context()); err != nil {
			a.writeProblem(w, problemf(ReasonUnavailable, err))
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
	// after is the revision up to which all is told.
	after uint64
	// began means that the answer's head is sent.
	began bool
}

// beginNow has the watch begin at the present revision.
func (s *stream) beginNow(ctx context.Context) error {
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

// run tells changes until the watcher leaves or the watch can't go on.
func (s *stream) run(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := s.read(ctx, distributor.Read{
			Kind:       distributor.ReadSince,
			After:      s.after,
			WaitMillis: s.wait(),
		})
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.end(problemf(ReasonUnavailable, err))
			return
		case answer.Compacted:
			p := problem(ReasonCompacted, "the history no longer reaches back to the revision: list again, and watch from there")
			p.Revision = answer.Revision
			s.end(p)
			return
		}
		if err := s.tell(answer); err != nil {
			return
		}
	}
}

// wait returns how long the control host may wait for a change. The first
// answer comes at once, so that a watcher learns whether the watch stands.
func (s *stream) wait() int64 {
	if !s.began {
		return 0
	}
	return millis(s.api.settings.WatchHeartbeat)
}

// tell sends the changes that concern the watcher, then a bookmark.
func (s *stream) tell(answer distributor.ReadAnswer) error {
	s.begin()
	for i := range answer.Changes {
		c := &answer.Changes[i]
		if !s.concerns(c.Resource.Key()) {
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

// concerns reports whether a resource is among those watched.
func (s *stream) concerns(k storer.Key) bool {
	return k.Kind == s.key.Kind &&
		(s.key.Workspace == "" || k.Workspace == s.key.Workspace) &&
		(s.key.Name == "" || k.Name == s.key.Name)
}

func (s *stream) begin() {
	if s.began {
		return
	}
	s.began = true
	s.writer.Header().Set(headerContentType, typeJSONLines)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *stream) send(e Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Annotate(err, "encode event")
	}
	// Writers without deadlines are those of tests.
	_ = s.control.SetWriteDeadline(s.api.settings.Now().Add(watchWriteTimeout))
	_, err = s.writer.Write(append(data, '\n'))
	return errors.Trace(err)
}

// end tells why the watch can't go on.
func (s *stream) end(p *Problem) {
	if !s.began {
		s.api.writeProblem(s.writer, p)
		return
	}
	if s.send(Event{Type: EventProblem, Revision: s.after, Problem: p}) == nil {
		_ = s.control.Flush()
	}
}
