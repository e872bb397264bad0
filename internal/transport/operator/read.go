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

// get responds with one resource and how far it is in force.
func (a *API) get(w http.ResponseWriter, r *http.Request, key storer.Key) {
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	answer, err := a.settings.Control.Read(ctx, distributor.Read{
		Kind:          distributor.ReadGet,
		Key:           key,
		TimeoutMillis: millis(a.settings.Timeout),
	})
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonUnavailable, err))
		return
	}
	if len(answer.Resources) == 0 {
		p := newProblem(ReasonNotFound, "no such resource")
		p.Revision = answer.Revision
		a.writeProblem(w, p)
		return
	}
	d := newDocument(answer.Resources[0])
	tag := formatETag(d.Metadata.Revision)
	w.Header().Set(headerETag, tag)
	if r.Header.Get(headerIfNoneMatch) == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	d.Status = a.status(ctx, d.Metadata.Revision)
	a.writeJSON(w, http.StatusOK, d)
}

// status returns how far a revision is in force. If this can't be determined, the status
// has only a Problem, and the resource is still returned.
func (a *API) status(ctx context.Context, revision uint64) *Status {
	f, err := a.settings.Control.InForce(ctx, revision)
	if err != nil {
		return &Status{Problem: err.Error()}
	}
	return newStatus(a.settings.Now(), f)
}

// list responds with all resources of a kind, or with a page of them.
func (a *API) list(w http.ResponseWriter, r *http.Request, key storer.Key) {
	query := r.URL.Query()
	limit, err := parseCount(query, queryLimit)
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	from, err := parseListCursor(query.Get(queryContinue))
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	list, err := a.readList(ctx, key, from, int(min(limit, distributor.ReadLimit)))
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonUnavailable, err))
		return
	}
	w.Header().Set(headerETag, formatETag(list.Revision))
	a.writeJSON(w, http.StatusOK, list)
}

// listCursor is a position in a list.
type listCursor struct {
	// count is the number of resources read, and name the name of the last one.
	count uint64
	name  string
}

func (p listCursor) String() string {
	return strconv.FormatUint(p.count, 10) + cursorSeparator + p.name
}

const cursorSeparator = ":"

// parseListCursor is the inverse of listCursor.String; an empty text is the start of the
// list.
func parseListCursor(text string) (listCursor, error) {
	if text == "" {
		return listCursor{}, nil
	}
	number, name, _ := strings.Cut(text, cursorSeparator)
	count, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return listCursor{}, errors.Errorf("%s=%s is no place in a list", queryContinue, text)
	}
	return listCursor{count: count, name: name}, nil
}

// readList reads one page of at most limit resources, or all pages if limit is 0. The
// list has the revision of its first page: a watch from there may repeat changes that
// later pages already show, but misses none.
func (a *API) readList(ctx context.Context, key storer.Key, from listCursor, limit int) (List, error) {
	list := List{Kind: key.Kind, Workspace: key.Workspace, Items: []Document{}}
	for {
		key.Name = from.name
		answer, err := a.settings.Control.Read(ctx, distributor.Read{
			Kind:          distributor.ReadList,
			Key:           key,
			After:         from.count, // used by control hosts of an older version
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
			list.Items = append(list.Items, newDocument(r))
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

// parseCount returns a numeric query parameter, or 0 if it is absent.
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
