package sealer

import (
	"encoding/json"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// roleSet is a set of roles, as a bit mask.
type roleSet uint8

// The sets of a single role.
const (
	entries    roleSet = 1 << configurer.RoleEntry
	companions roleSet = 1 << configurer.RoleCompanion
	controls   roleSet = 1 << configurer.RoleControl
)

// roleSetOf returns the set of an identity's roles.
func roleSetOf(i Identity) (set roleSet) {
	for _, r := range i.Roles {
		set |= 1 << r
	}
	return set
}

// String returns the names of the roles, for use in a message.
func (s roleSet) String() string {
	var texts []string
	for _, r := range roles {
		if s&(1<<r) != 0 {
			texts = append(texts, r.String())
		}
	}
	if len(texts) == 0 {
		return "nobody"
	}
	return strings.Join(texts, " and ")
}

// senders returns the roles that may send a method; the empty set for an unknown method.
func senders(m messenger.Method) roleSet {
	switch m {
	case messenger.MethodDispatch, messenger.MethodResume, messenger.MethodAcknowledge, messenger.MethodCancel,
		messenger.MethodAdmit, messenger.MethodRelease, messenger.MethodLimit, messenger.MethodWatch,
		messenger.MethodRecordOrigin, messenger.MethodFindOrigin, messenger.MethodInspect:
		return entries
	case messenger.MethodPiece, messenger.MethodState, messenger.MethodLimitState, messenger.MethodSpeedState, messenger.MethodCacheState, messenger.MethodLongPromptState, messenger.MethodJoin, messenger.MethodRenew, messenger.MethodLeave:
		return companions
	case messenger.MethodRequestPermit, messenger.MethodFinishPermit:
		// A control host forwards these to the leader.
		return companions | controls
	case messenger.MethodReplicate, messenger.MethodTally, messenger.MethodBarrier, messenger.MethodRenewBatch, messenger.MethodReportBatch,
		messenger.MethodEnlist, messenger.MethodShareDigest, messenger.MethodDelta, messenger.MethodPulse, messenger.MethodDigest, messenger.MethodVoid:
		return controls
	case messenger.MethodReport, messenger.MethodReserve, messenger.MethodPropose, messenger.MethodRead, messenger.MethodInForce, messenger.MethodGroup:
		// Operators' calls and claims are sent by entries. A companion has no need to read
		// or change these data.
		return entries | controls
	case messenger.MethodHeartbeat, messenger.MethodPace, messenger.MethodSubscribe, messenger.MethodFreshness,
		messenger.MethodApplied, messenger.MethodGoodbye:
		return entries | companions | controls
	default:
		return 0
	}
}

// Authorize returns nil if a process may send a message. Its error is a *messenger.Refusal
// with ReasonForbidden, or with ReasonMalformed if the decision depends on parameters that
// can't be decoded.
//
// The parameters are decoded into the same types that the handlers use: with types of its
// own, Authorize could decode another name than the handler does.
func Authorize(peer Identity, m messenger.Method, params json.RawMessage) error {
	allowed, has := senders(m), roleSetOf(peer)
	if allowed&has == 0 {
		return forbidden(peer, m, "is for "+allowed.String())
	}
	if m == messenger.MethodSubscribe {
		return authorizeSubscribe(peer, params)
	}
	if allowed&has&controls != 0 {
		return nil
	}
	switch m {
	case messenger.MethodPropose:
		return authorizePropose(peer, params)
	case messenger.MethodJoin:
		return authorizeOwn(peer, m, params, func(j registrar.JoinRequest) []string { return []string{j.Name} })
	case messenger.MethodLeave:
		return authorizeOwn(peer, m, params, func(l registrar.LeaveRequest) []string { return []string{l.Name} })
	case messenger.MethodRenew:
		return authorizeOwn(peer, m, params, func(h registrar.Heartbeat) []string {
			if h.Report == nil {
				return []string{h.Name}
			}
			return []string{h.Name, h.Report.Name}
		})
	case messenger.MethodRequestPermit:
		return authorizeOwn(peer, m, params, func(a permitter.PermitRequest) []string { return []string{a.Companion} })
	case messenger.MethodFinishPermit:
		return authorizeOwn(peer, m, params, func(f permitter.Finish) []string { return []string{f.Companion} })
	default:
		return nil
	}
}

// authorizeOwn allows a message if all backend server names in it are the sender's.
func authorizeOwn[P any](peer Identity, m messenger.Method, params json.RawMessage, names func(P) []string) error {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return err
	}
	for _, name := range names(p) {
		if name != peer.Node {
			return forbidden(peer, m, "names the backend server "+name)
		}
	}
	return nil
}

// authorizeSubscribe allows a subscription under the sender's own name. Only entries and
// control hosts may subscribe to the full configuration, which contains the digests of the
// workspaces' keys.
func authorizeSubscribe(peer Identity, params json.RawMessage) error {
	var s distributor.Subscribe
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	entitled := roleSetOf(peer)&(entries|controls) != 0
	switch {
	case s.Node != peer.Node:
		return forbidden(peer, messenger.MethodSubscribe, "names the node "+s.Node)
	case s.Scope != distributor.ScopeCompanion && !entitled:
		return forbidden(peer, messenger.MethodSubscribe, "of all configuration is for entries")
	case s.Scope == distributor.ScopeCompanion && s.Backend != peer.Node && !entitled:
		return forbidden(peer, messenger.MethodSubscribe, "names the backend server "+s.Backend)
	default:
		return nil
	}
}

// authorizePropose allows an entry to propose the changes of operators and callers.
// Memberships may only be changed by companions and control hosts.
func authorizePropose(peer Identity, params json.RawMessage) error {
	var p distributor.Propose
	if err := messenger.Decode(params, &p); err != nil {
		return err
	}
	e, err := storer.Decode(p.Envelope)
	if err != nil {
		return messenger.NewRefusal(messenger.ReasonMalformed, err.Error())
	}
	switch e.Command.(type) {
	case storer.PutResource, storer.DeleteResource, storer.ClaimCall, storer.SettleClaim:
		return nil
	default:
		return forbidden(peer, messenger.MethodPropose, "changes what only control hosts change")
	}
}

func forbidden(peer Identity, m messenger.Method, reason string) error {
	return messenger.NewRefusal(messenger.ReasonForbidden, string(m)+" "+reason+", and came from "+peer.String())
}
