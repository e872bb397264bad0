package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// EventsPath is where a process shows its events.
const EventsPath = "/debug/events"

// RequestParameter limits the events to one request.
const RequestParameter = "Request"

// fetchTimeout bounds the time that one process has to give its events.
const fetchTimeout = 10 * time.Second

// Settings are the options of a gathering.
type Settings struct {
	// Addresses are the operators' listeners, IP:port.
	Addresses []string
	// Request limits the time line to one request; empty means all.
	Request string
	// Key is the operators' bearer key; empty means none.
	Key string
	// Client fetches; nil means one that waits 10 s at most.
	Client *http.Client
}

// Timeline is the merged view of several processes.
type Timeline struct {
	Events []recorder.Event
	// Missing names the processes that gave no events, and why.
	Missing []MissingProcess
}

// MissingProcess is a process that gave no events.
type MissingProcess struct {
	Address string
	Cause   string
}

// Gather fetches the events of all processes and merges them. A process that
// does not answer is named in the time line and does not fail the rest: it is
// most wanted when some hosts are down.
func Gather(ctx context.Context, s Settings) Timeline {
	if s.Client == nil {
		s.Client = &http.Client{Timeout: fetchTimeout}
	}
	pages := make([]recorder.Page, len(s.Addresses))
	causes := make([]error, len(s.Addresses))
	var fetching sync.WaitGroup
	for i, a := range s.Addresses {
		fetching.Go(func() { pages[i], causes[i] = fetch(ctx, s, a) })
	}
	fetching.Wait()
	t := Timeline{Events: recorder.Merge(pages)}
	for i, err := range causes {
		if err != nil {
			t.Missing = append(t.Missing, MissingProcess{Address: s.Addresses[i], Cause: err.Error()})
		}
	}
	return t
}

func fetch(ctx context.Context, s Settings, address string) (recorder.Page, error) {
	target := url.URL{Scheme: "http", Host: address, Path: EventsPath}
	if s.Request != "" {
		target.RawQuery = url.Values{RequestParameter: {s.Request}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return recorder.Page{}, errors.Trace(err)
	}
	if s.Key != "" {
		request.Header.Set("Authorization", "Bearer "+s.Key)
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return recorder.Page{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return recorder.Page{}, errors.Errorf("answered %s", response.Status)
	}
	var page recorder.Page
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return recorder.Page{}, errors.Annotate(err, "reading events")
	}
	return page, nil
}

// Handler shows the events of one process.
func Handler(r *recorder.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.Events(request.URL.Query().Get(RequestParameter))); err != nil {
			http.Error(w, fmt.Sprintf("encoding events: %v", err), http.StatusInternalServerError)
		}
	})
}
