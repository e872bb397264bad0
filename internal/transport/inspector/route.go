package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// RoutePath is the path at which an entry tells where a request would go.
const RoutePath = "/debug/route"

// RouteQuery describes a request. Host and Path are required.
type RouteQuery struct {
	// Host and Path are those of the request, the path as it would be sent.
	Host, Path string
	// Model and Adapter are empty where the request needs none. An adapter needs a model.
	Model, Adapter string
	// Prompt and Answer are lengths in tokens; 0 means unspecified.
	Prompt, Answer int
	// Parts lists the parts of the prompt as ID:TOKENS, separated by commas, as callers do.
	Parts string
}

// Names of the query's parameters.
const (
	routeHost    = "Host"
	routeURLPath = "Path"
	routeModel   = "Model"
	routeAdapter = "Adapter"
	routePrompt  = "Prompt"
	routeAnswer  = "Answer"
	routeParts   = "Parts"
)

// Check returns an error that names the first invalid field, or nil.
func (q RouteQuery) Check() error {
	switch {
	case q.Host == "" || strings.ContainsFunc(q.Host, unprintable) || strings.Contains(q.Host, "/"):
		return errors.NotValidf("host %q", q.Host)
	case !strings.HasPrefix(q.Path, "/") || strings.ContainsFunc(q.Path, unprintable):
		return errors.NotValidf("path %q, which must begin with a slash,", q.Path)
	case strings.ContainsFunc(q.Model, unprintable) || strings.Contains(q.Model, "/"):
		return errors.NotValidf("model %q", q.Model)
	case strings.ContainsFunc(q.Adapter, unprintable):
		return errors.NotValidf("adapter %q", q.Adapter)
	case q.Adapter != "" && q.Model == "":
		return errors.NotValidf("adapter %q without a model", q.Adapter)
	case q.Prompt < 0:
		return errors.NotValidf("prompt of %d tokens", q.Prompt)
	case q.Answer < 0:
		return errors.NotValidf("answer of %d tokens", q.Answer)
	case q.Parts == "":
		return nil
	}
	for part := range strings.SplitSeq(q.Parts, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if _, err := strconv.ParseUint(tokens, 10, 31); err != nil || id == "" || strings.ContainsFunc(id, unprintable) {
			return errors.NotValidf("part %q, which must be ID:TOKENS,", part)
		}
	}
	return nil
}

// unprintable reports whether a character can't be part of a request's line or header.
func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// Values returns the query's parameters.
func (q RouteQuery) Values() url.Values {
	return url.Values{
		routeHost: {q.Host}, routeURLPath: {q.Path}, routeModel: {q.Model}, routeAdapter: {q.Adapter},
		routePrompt: {strconv.Itoa(q.Prompt)}, routeAnswer: {strconv.Itoa(q.Answer)}, routeParts: {q.Parts},
	}
}

// ParseRouteQuery parses and checks parameters.
func ParseRouteQuery(v url.Values) (RouteQuery, error) {
	q := RouteQuery{Host: v.Get(routeHost), Path: v.Get(routeURLPath), Model: v.Get(routeModel), Adapter: v.Get(routeAdapter), Parts: v.Get(routeParts)}
	known := q.Values()
	for name, values := range v {
		if _, is := known[name]; !is || len(values) != 1 {
			return q, errors.NotValidf("parameter %s, given %d times,", name, len(values))
		}
	}
	for name, to := range map[string]*int{routePrompt: &q.Prompt, routeAnswer: &q.Answer} {
		if text := v.Get(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil {
				return q, errors.NotValidf("%s %q", name, text)
			}
			*to = n
		}
	}
	return q, q.Check()
}

// RouteAnswer tells where a request would go, and why. Ages that are not known are negative.
type RouteAnswer struct {
	// Node is the name of the entry.
	Node       string
	Host, Path string
	// Route is the name of the route; empty if there is none.
	Route string
	// Refusal is the reason for which no service would get the request; empty if one would.
	Refusal string
	// Configuration is the number of the routing configuration, and Revision that of the
	// known state. StateAgeMillis is the age of that state by the reports of the control host,
	// and ConfirmedAgeMillis that by the entry's own requests.
	Configuration, Revision            uint64
	StateAgeMillis, ConfirmedAgeMillis float64
	// Services are the services of the route; one is drawn for each request, by weight.
	Services []RouteService
}

// RouteService is the choice of a backend server of one service.
type RouteService struct {
	Name    string
	Weight  int
	Engines bool
	// Choice is the name of the backend server that would be chosen, and Refusal the reason
	// for which there is none; one of them is empty.
	Choice, Refusal string
	// Ties holds the candidates among which a random number decides.
	Ties []string
	// Candidates are sorted by cost, Excluded by name.
	Candidates, Excluded []RouteServer
}

// RouteServer is a backend server as the entry knows it.
type RouteServer struct {
	Name, Address, Software, FailureDomain string
	// Known means that the entry follows its state, or has subscribed to it for a call.
	Known bool
	// ReportAgeMillis is the age of the last report of its state.
	ReportAgeMillis float64
	// CostMillis is the sum of the terms. Terms that are 0 are left out.
	CostMillis float64
	Terms      []RouteTerm
	// Exclusion is the reason for which it is no candidate, and RemainingMillis the time until
	// that ends, where it is known.
	Exclusion       string
	RemainingMillis float64
}

// RouteTerm is one term of a cost.
type RouteTerm struct {
	Name   string
	Millis float64
}

// RouteHandler answers queries by explain, whose errors mean an invalid query.
func RouteHandler(explain func(RouteQuery) (RouteAnswer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		q, err := ParseRouteQuery(request.URL.Query())
		var answer RouteAnswer
		if err == nil {
			answer, err = explain(q)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			http.Error(w, fmt.Sprintf("encoding the answer: %v", err), http.StatusInternalServerError)
		}
	})
}

// maxRouteRefusal bounds what is read of a refusal.
const maxRouteRefusal = 1000

// QueryRoute queries the entry whose metrics are served at address. The error is NotValid if the
// query is invalid.
func QueryRoute(ctx context.Context, address string, q RouteQuery) (RouteAnswer, error) {
	var answer RouteAnswer
	if err := q.Check(); err != nil {
		return answer, err
	}
	target := url.URL{Scheme: "http", Host: address, Path: RoutePath, RawQuery: q.Values().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return answer, errors.Trace(err)
	}
	response, err := (&http.Client{Timeout: fetchTimeout}).Do(request)
	if err != nil {
		return answer, errors.Trace(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return answer, errors.Errorf("%s has no %s: it is no entry of the platform, or of an earlier version", address, RoutePath)
	case http.StatusBadRequest:
		text, err := io.ReadAll(io.LimitReader(response.Body, maxRouteRefusal))
		if err != nil {
			return answer, errors.Trace(err)
		}
		return answer, errors.WithType(errors.New(strings.TrimSpace(string(text))), errors.NotValid)
	default:
		return answer, errors.Errorf("%s answered %s", address, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, errors.Annotate(err, "reading the answer")
	}
	return answer, nil
}

// find returns the candidate with the name, or nil.
func (s *RouteService) find(name string) *RouteServer {
	if i := slices.IndexFunc(s.Candidates, func(c RouteServer) bool { return c.Name == name }); i >= 0 {
		return &s.Candidates[i]
	}
	return nil
}
