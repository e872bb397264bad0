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

// roleSet is a set of roles.
type roleSet uint8

// The sets of one role.
const (
	entries    roleSet = 1 << configurer.RoleEntry
	companions roleSet = 1 << configurer.RoleCompanion
	controls   roleSet = 1 << configurer.RoleControl
)

// setOf returns the set of the roles of an identity.
func setOf(i Identity) (set roleSet) {
	for _, r := range i.Roles {
		set |= 1 << r
	}
	return set
}

// String returns the names of the roles for a message.
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

// senders returns the roles that may send a method; none for an unknown one.
func senders(m messenger.Method) roleSet {
	switch m {
	case messenger.MethodDispatch, messenger.MethodResume, messenger.MethodAcknowledge, messenger.MethodCancel,
		messenger.MethodAdmit, messenger.MethodRelease, messenger.MethodWatch:
		return entries
	case messenger.MethodPiece, messenger.MethodState, messenger.MethodJoin, messenger.MethodRenew, messenger.MethodLeave:
		return companions
	case messenger.MethodRequestPermit, messenger.MethodFinishPermit:
		// A control host hands them on to the leader.
		return companions | controls
	case messenger.MethodReplicate, messenger.MethodTally, messenger.MethodBarrier, messenger.MethodRenewBatch, messenger.MethodReportBatch,
		messenger.MethodEnlist, messenger.MethodShareDigest, messenger.MethodDelta, messenger.MethodPulse, messenger.MethodDigest, messenger.MethodVoid:
		return controls
	case messenger.MethodReport, messenger.MethodPropose, messenger.MethodRead, messenger.MethodInForce, messenger.MethodGroup:
		// Operators and claims come through entries. What a companion could read
		// or change here is not its own.
		return entries | controls
	case messenger.MethodHeartbeat, messenger.MethodPace, messenger.MethodSubscribe, messenger.MethodApplied, messenger.MethodGoodbye:
		return entries | companions | controls
	default:
		return 0
	}
}

// Authorize decides whether a process may send a message. Its error is a
// *messenger.Refusal: with ReasonForbidden, or ReasonMalformed where the sender's
// right depends on parameters that can't be read.
//
// The parameters are decoded into the very types that the handlers use: a
// decoder of its own might read another name in them than the handler does.
func Authorize(peer Identity, m messenger.Method, params json.RawMessage) error {
	allowed, has := senders(m), setOf(peer)
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
		return own(peer, m, params, func(j registrar.JoinRequest) []string { return []string{j.Name} })
	case messenger.MethodLeave:
		return own(peer, m, params, func(l registrar.LeaveRequest) []string { return []string{l.Name} })
	case messenger.MethodRenew:
		return own(peer, m, params, func(h registrar.Heartbeat) []string {
			if h.Report == nil {
				return []string{h.Name}
			}
			return []string{h.Name, h.Report.Name}
		})
	case messenger.MethodRequestPermit:
		return own(peer, m, params, func(a permitter.PermitRequest) []string { return []string{a.Companion} })
	case messenger.MethodFinishPermit:
		return own(peer, m, params, func(f permitter.Finish) []string { return []string{f.Companion} })
	default:
		return nil
	}
}

// own allows a message in which all names of backend servers are the sender's.
func own[P any](peer Identity, m messenger.Method, params json.RawMessage, named func(P) []string) error {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return err
	}
	for _, name := range named(p) {
		if name != peer.Node {
			return forbidden(peer, m, "names the backend server "+name)
		}
	}
	return nil
}

// authorizeSubscribe allows a subscription under the sender's own name. The whole
// configuration, with the digests of the workspaces' keys, goes to entries and
// control hosts only.
func authorizeSubscribe(peer Identity, params json.RawMessage) error {
	var s distributor.Subscribe
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	entitled := setOf(peer)&(entries|controls) != 0
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

// authorizePropose allows an entry the changes of operators and callers.
// Memberships are the companions' and the control hosts'.
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

func forbidden(peer Identity, m messenger.Method, why string) error {
	return messenger.NewRefusal(messenger.ReasonForbidden, string(m)+" "+why+", and came from "+peer.String())
}
