package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// get answers with one resource and how far it is in force.
func (a *API) get(w http.ResponseWriter, r *http.Request, key storer.Key) {
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	answer, err := a.settings.Control.Read(ctx, distributor.Read{
		Kind:          distributor.ReadGet,
		Key:           key,
		TimeoutMillis: millis(a.settings.Timeout),
	})
	if err != nil {
		a.writeProblem(w, problemf(ReasonUnavailable, err))
		return
	}
	if len(answer.Resources) == 0 {
		p := problem(ReasonNotFound, "no such resource")
		p.Revision = answer.Revision
		a.writeProblem(w, p)
		return
	}
	d := documentOf(answer.Resources[0])
	tag := formatETag(d.Metadata.Revision)
	w.Header().Set(headerETag, tag)
	if r.Header.Get(headerIfNoneMatch) == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	d.Status = a.status(ctx, d.Metadata.Revision)
	a.writeJSON(w, http.StatusOK, d)
}

// status tells how far a revision is in force. The resource is answered all the
// same when that can't be learned.
func (a *API) status(ctx context.Context, revision uint64) *Status {
	f, err := a.settings.Control.InForce(ctx, revision)
	if err != nil {
		return &Status{Problem: err.Error()}
	}
	return statusOf(a.settings.Now(), f)
}

// list answers with resources of a kind, all of them or a page.
func (a *API) list(w http.ResponseWriter, r *http.Request, key storer.Key) {
	query := r.URL.Query()
	limit, err := parseCount(query, queryLimit)
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	from, err := parsePlace(query.Get(queryContinue))
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	list, err := a.readList(ctx, key, from, int(min(limit, distributor.ReadLimit)))
	if err != nil {
		a.writeProblem(w, problemf(ReasonUnavailable, err))
		return
	}
	w.Header().Set(headerETag, formatETag(list.Revision))
	a.writeJSON(w, http.StatusOK, list)
}

// place is how far a list has been read.
type place struct {
	// count is the number of resources read, name that of the last one.
	count uint64
	name  string
}

func (p place) String() string { return strconv.FormatUint(p.count, 10) + placeSeparator + p.name }

const placeSeparator = ":"

// parsePlace is the inverse of place.String; an empty text is the beginning.
func parsePlace(text string) (place, error) {
	if text == "" {
		return place{}, nil
	}
	number, name, _ := strings.Cut(text, placeSeparator)
	count, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return place{}, errors.Errorf("%s=%s is no place in a list", queryContinue, text)
	}
	return place{count: count, name: name}, nil
}

// readList reads one page of at most limit resources, or with a limit of 0 all
// pages. The list bears the first page's revision: a watch from there sees
// again what later pages may already show, and misses nothing.
func (a *API) readList(ctx context.Context, key storer.Key, from place, limit int) (List, error) {
	list := List{Kind: key.Kind, Workspace: key.Workspace, Items: []Document{}}
	for {
		key.Name = from.name
		answer, err := a.settings.Control.Read(ctx, distributor.Read{
			Kind:          distributor.ReadList,
			Key:           key,
			After:         from.count, // for control hosts of an earlier build
			Limit:         limit,
			TimeoutMillis: millis(a.settings.Timeout),
		})
		if err != nil {
			return list, errors.Annotate(err, "list")
		}
		if list.Revision == 0 {
			list.Revision = answer.Revision
		}
		for _, r := range answer.Resources {
			list.Items = append(list.Items, documentOf(r))
		}
		if !answer.More || len(answer.Resources) == 0 {
			return list, nil
		}
		from.count += uint64(len(answer.Resources))
		from.name = answer.Resources[len(answer.Resources)-1].Metadata.Name
		if limit > 0 {
			list.Continue = from.String()
			return list, nil
		}
	}
}

// parseCount returns a query parameter which is a number, 0 where it is
// missing.
func parseCount(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errors.Errorf("%s=%s is no number", name, text)
	}
	return n, nil
}
