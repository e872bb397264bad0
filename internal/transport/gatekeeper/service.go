package gatekeeper

import (
	"net/http"
	"slices"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// serviceTokens is the number of tokens that a call to a plain service counts in the
// limits.
const serviceTokens = 256

// service serves a call to a plain service.
func (x *exchange) service() *translator.Fault {
	name := x.r.PathValue("service")
	target, fault := x.servicePath(name)
	if fault != nil {
		return fault
	}
	pool, spec, fault := x.servicePool(name)
	if fault != nil {
		return fault
	}
	body, fault := x.body()
	if fault != nil {
		return fault
	}
	key, err := translator.IdempotencyKey(x.r.Header)
	if err != nil {
		return translator.Malformed(err)
	}
	rule, fault := x.rule("")
	if fault != nil {
		return fault
	}
	deadline, fault := x.deadline(rule)
	if fault != nil {
		return fault
	}
	// The operators may have changed which calls are idempotent; without a valid lease
	// the entry treats none as idempotent.
	idempotent := repeatable(spec, x.r.Method, target) && x.entry.settings.Control.LeaseValid()
	q := &request{
		exchange:   x,
		deadline:   deadline,
		idempotent: idempotent,
		call:       router.Call{Pool: pool},
		dispatch: messenger.Dispatch{
			Request: x.id, Kind: messenger.CallKindService, Workspace: x.holder.Workspace,
			Priority: rule.Priority, Tokens: serviceTokens, Idempotent: idempotent,
			Method: x.r.Method, Path: target, Header: translator.ForwardedFields(x.r.Header), Body: body,
		},
	}
	// A key has no effect on a call that may run again.
	x.keyDecided = idempotent
	if !idempotent {
		if key == "" {
			// Nobody else has this key; the claim still limits the entry's own retries
			// and late dispatches to one holder.
			key = x.id
		}
		q.claimKey(key, body)
	}
	return q.serve()
}

// servicePath returns the path and query below the service, in the caller's escaping.
// Paths with dot segments are refused: such a path could match an idempotent path and
// reach the service as a different one.
func (x *exchange) servicePath(name string) (string, *translator.Fault) {
	for segment := range strings.SplitSeq(x.r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", translator.NewFault(http.StatusBadRequest, translator.CodeInvalidRequest, "the path has dot segments")
		}
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/"), "/")
	path = "/" + path
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	if len(name) > translator.MaxNameBytes {
		return "", unknownService(name)
	}
	return path, nil
}

func unknownService(name string) *translator.Fault {
	return translator.NewFault(http.StatusNotFound, translator.CodeServiceNotFound, "there is no service %.150q for this key", name)
}

// servicePool returns the backend servers of a service that the workspace has declared:
// its own if there are any, or else those that all workspaces share.
func (x *exchange) servicePool(name string) (router.Pool, storer.ServiceSpec, *translator.Fault) {
	spec, ok := x.entry.settings.Index.Service(x.holder.Workspace, name)
	if !ok {
		return router.Pool{}, spec, unknownService(name)
	}
	x.entry.syncMembers()
	own := router.Pool{Kind: storer.MemberKindService, Name: x.holder.Workspace + "/" + name}
	if x.entry.router.Serves(own) {
		return own, spec, nil
	}
	return router.Pool{Kind: storer.MemberKindService, Name: name}, spec, nil
}

// repeatable reports whether the operators declared the call idempotent, by its method
// or by a path prefix of whole segments. The path is compared in the form in which the
// service receives it.
func repeatable(spec storer.ServiceSpec, method, target string) bool {
	if slices.Contains(spec.IdempotentMethods, method) {
		return true
	}
	path, _, _ := strings.Cut(target, "?")
	for _, prefix := range spec.IdempotentPaths {
		rest, ok := strings.CutPrefix(path, "/"+strings.Trim(prefix, "/"))
		if ok && (rest == "" || rest[0] == '/') {
			return true
		}
	}
	return false
}
