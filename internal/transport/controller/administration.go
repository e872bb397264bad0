package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
)

// AdministrationPath is the path prefix served by Administration.
const AdministrationPath = "/api/v1/control"

const (
	// administrationTimeout bounds a change of the group. A new voter first receives the
	// whole state.
	administrationTimeout = 2 * time.Minute
	// administrationBody bounds a request body, in bytes.
	administrationBody = 64 << 10
	wildcardHost       = "id"
)

// GroupClient reads and changes the control group. *subscriber.Client implements it.
type GroupClient interface {
	Group(ctx context.Context) (distributor.Group, error)
	ChangeGroup(ctx context.Context, g distributor.GroupChange) (distributor.Group, error)
}

// Administration returns the handler with which operators inspect and change the control
// group. It does no authorization; the caller must guard it:
//
//	GET    /api/v1/control             the group, as one of its hosts sees it
//	PUT    /api/v1/control/hosts/{id}  add a host; body {"Address","FailureDomain","Voter"}
//	DELETE /api/v1/control/hosts/{id}  remove a host
//	POST   /api/v1/control/transfer    hand leadership to another host
//
// notAccepted reports whether an error of ChangeGroup proves that the change has no
// effect.
func Administration(group GroupClient, notAccepted func(error) bool) http.Handler {
	a := administration{group: group, notAccepted: notAccepted}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+AdministrationPath, a.show)
	mux.HandleFunc("PUT "+AdministrationPath+"/hosts/{"+wildcardHost+"}", a.add)
	mux.HandleFunc("DELETE "+AdministrationPath+"/hosts/{"+wildcardHost+"}", a.remove)
	mux.HandleFunc("POST "+AdministrationPath+"/transfer", a.transfer)
	return mux
}

type administration struct {
	group       GroupClient
	notAccepted func(error) bool
}

// AdministrationProblem is the body of an error response.
type AdministrationProblem struct {
	Reason string
	// Accepted is "No" if the change certainly has no effect, and "Unknown" otherwise.
	Accepted string
}

func (a administration) show(w http.ResponseWriter, r *http.Request) {
	g, err := a.group.Group(r.Context())
	if err != nil {
		a.refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	answerJSON(w, http.StatusOK, g)
}

func (a administration) add(w http.ResponseWriter, r *http.Request) {
	id, ok := a.host(w, r)
	if !ok {
		return
	}
	var h distributor.GroupHost
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, administrationBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&h); err != nil {
		answerJSON(w, http.StatusBadRequest, AdministrationProblem{Reason: err.Error(), Accepted: acceptedNo})
		return
	}
	h.ID = id
	a.change(w, r, distributor.GroupChange{Action: distributor.GroupAdd, Host: h})
}

func (a administration) remove(w http.ResponseWriter, r *http.Request) {
	if id, ok := a.host(w, r); ok {
		a.change(w, r, distributor.GroupChange{Action: distributor.GroupRemove, Host: distributor.GroupHost{ID: id}})
	}
}

func (a administration) transfer(w http.ResponseWriter, r *http.Request) {
	a.change(w, r, distributor.GroupChange{Action: distributor.GroupTransfer})
}

func (a administration) change(w http.ResponseWriter, r *http.Request, g distributor.GroupChange) {
	ctx, cancel := context.WithTimeout(r.Context(), administrationTimeout)
	defer cancel()
	answer, err := a.group.ChangeGroup(ctx, g)
	switch {
	case err == nil:
		answerJSON(w, http.StatusOK, answer)
	case a.notAccepted(err):
		a.refuse(w, http.StatusConflict, err)
	default:
		a.refuse(w, http.StatusGatewayTimeout, err)
	}
}

// host returns the host ID in the path. If the ID is invalid, it writes the response and
// returns false.
func (a administration) host(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	id, err := strconv.ParseUint(r.PathValue(wildcardHost), 10, 64)
	if err != nil || id == 0 {
		answerJSON(w, http.StatusBadRequest, AdministrationProblem{Reason: "a host's id is a number above 0", Accepted: acceptedNo})
		return 0, false
	}
	return id, true
}

// Values of AdministrationProblem.Accepted.
const (
	acceptedNo      = "No"
	acceptedUnknown = "Unknown"
)

func (a administration) refuse(w http.ResponseWriter, status int, err error) {
	p := AdministrationProblem{Reason: err.Error(), Accepted: acceptedUnknown}
	if a.notAccepted(err) {
		p.Accepted = acceptedNo
	}
	answerJSON(w, status, p)
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Write errors mean that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
