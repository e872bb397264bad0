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

// EventsPath is the path at which a process serves its events.
const EventsPath = "/debug/events"

// RequestParameter is the query parameter that restricts the events to one request.
const RequestParameter = "Request"

// fetchTimeout bounds the time to fetch the events of one process.
const fetchTimeout = 10 * time.Second

// Settings configures Gather.
type Settings struct {
	// Addresses are the addresses of the operators' listeners, as IP:port.
	Addresses []string
	// Request restricts the timeline to one request; empty means all requests.
	Request string
	// Key is the operators' bearer key; empty means none.
	Key string
	// Client sends the requests; nil means a client with a timeout of 10 s.
	Client *http.Client
}

// Timeline contains the merged events of several processes.
type Timeline struct {
	Events []recorder.Event
	// Missing lists the processes that returned no events.
	Missing []MissingProcess
}

// MissingProcess is a process that returned no events, with the cause.
type MissingProcess struct {
	Address string
	Cause   string
}

// Gather fetches the events of all processes and merges them. A process that does not
// answer is listed in Timeline.Missing and is not an error, since timelines are needed
// most when some hosts are down.
func Gather(ctx context.Context, s Settings) Timeline {
	if s.Client == nil {
		s.Client = &http.Client{Timeout: fetchTimeout}
	}
	pages := make([]recorder.Page, len(s.Addresses))
	errs := make([]error, len(s.Addresses))
	var fetches sync.WaitGroup
	for i, a := range s.Addresses {
		fetches.Go(func() { pages[i], errs[i] = fetch(ctx, s, a) })
	}
	fetches.Wait()
	t := Timeline{Events: recorder.Merge(pages)}
	for i, err := range errs {
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

// Handler serves the events of one process.
func Handler(r *recorder.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.Events(request.URL.Query().Get(RequestParameter))); err != nil {
			http.Error(w, fmt.Sprintf("encoding events: %v", err), http.StatusInternalServerError)
		}
	})
}
