package storer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxNesting limits the nesting depth of decoded data. The deepest data is a
// resource within a command within an envelope.
const maxNesting = 16

// encoding is the deterministic encoding of RFC 8949, section 4.2.1, so that
// equal states are encoded to equal bytes.
var encoding = mustEncMode(cbor.CoreDetEncOptions())

// decoding refuses duplicate map keys. It ignores unknown keys, so that a host can
// read the entries of a newer version.
var decoding = mustDecMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNesting})

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic("storer: invalid CBOR encoding options")
	}
	return m
}

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic("storer: invalid CBOR decoding options")
	}
	return m
}

// commandKind identifies the type of a command in the log. The numbers are part of
// the log format and never change their meaning.
type commandKind int

const (
	commandPutResource      commandKind = 1
	commandDeleteResource   commandKind = 2
	commandClaimCall        commandKind = 3
	commandSettleClaim      commandKind = 4
	commandJoinMember       commandKind = 5
	commandLeaveMember      commandKind = 6
	commandExpireMembers    commandKind = 7
	commandSetRetention     commandKind = 8
	commandPutRouting       commandKind = 9
	commandNameNewest       commandKind = 10
	commandAnnounce         commandKind = 11
	commandRetire           commandKind = 12
	commandCountEnds        commandKind = 13
	commandClearSuspects    commandKind = 14
	commandReviewSuspects   commandKind = 15
	commandCountPartEnds    commandKind = 16
	commandCountPartAnswers commandKind = 17
	commandReviewParts      commandKind = 18
)

// wireEnvelope is the encoded form of an Envelope in the log.
type wireEnvelope struct {
	Time           Instant         `cbor:"1,keyasint"`
	IdempotencyKey string          `cbor:"2,keyasint,omitempty"`
	Digest         []byte          `cbor:"3,keyasint,omitempty"`
	Kind           commandKind     `cbor:"4,keyasint"`
	Command        cbor.RawMessage `cbor:"5,keyasint"`
}

// wireResource is the encoded form of a Resource in the log and in snapshots.
type wireResource struct {
	Kind      Kind            `cbor:"1,keyasint"`
	Workspace string          `cbor:"2,keyasint,omitempty"`
	Name      string          `cbor:"3,keyasint"`
	Revision  uint64          `cbor:"4,keyasint,omitempty"`
	Spec      cbor.RawMessage `cbor:"5,keyasint"`
}

// Encode encodes e for the log.
func Encode(e Envelope) ([]byte, error) {
	kind, err := kindOfCommand(e.Command)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := encoding.Marshal(e.Command)
	if err != nil {
		return nil, errors.Annotatef(err, "encode command %d", kind)
	}
	data, err := encoding.Marshal(wireEnvelope{
		Time:           e.Time,
		IdempotencyKey: e.IdempotencyKey,
		Digest:         e.Digest,
		Kind:           kind,
		Command:        body,
	})
	return data, errors.Annotate(err, "encode envelope")
}

// Decode is the inverse of Encode.
func Decode(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := decoding.Unmarshal(data, &w); err != nil {
		return Envelope{}, errors.Annotate(err, "decode envelope")
	}
	command, err := decodeCommand(w.Kind, w.Command)
	if err != nil {
		return Envelope{}, errors.Annotatef(err, "decode command %d", w.Kind)
	}
	return Envelope{Time: w.Time, IdempotencyKey: w.IdempotencyKey, Digest: w.Digest, Command: command}, nil
}

// Stamp returns an encoded envelope with its Time set to t. It does not decode the
// command. It returns an error if data is not an envelope.
func Stamp(data []byte, t Instant) ([]byte, error) {
	var w wireEnvelope
	if err := decoding.Unmarshal(data, &w); err != nil {
		return nil, errors.Annotate(err, "decode envelope")
	}
	w.Time = t
	stamped, err := encoding.Marshal(w)
	return stamped, errors.Annotate(err, "encode envelope")
}

func kindOfCommand(c Command) (commandKind, error) {
	switch c.(type) {
	case PutResource:
		return commandPutResource, nil
	case DeleteResource:
		return commandDeleteResource, nil
	case ClaimCall:
		return commandClaimCall, nil
	case SettleClaim:
		return commandSettleClaim, nil
	case JoinMember:
		return commandJoinMember, nil
	case LeaveMember:
		return commandLeaveMember, nil
	case ExpireMembers:
		return commandExpireMembers, nil
	case SetRetention:
		return commandSetRetention, nil
	case PutRouting:
		return commandPutRouting, nil
	case NameNewest:
		return commandNameNewest, nil
	case AnnounceMember:
		return commandAnnounce, nil
	case RetireMember:
		return commandRetire, nil
	case CountEnds:
		return commandCountEnds, nil
	case ClearSuspects:
		return commandClearSuspects, nil
	case ReviewSuspects:
		return commandReviewSuspects, nil
	case CountPartEnds:
		return commandCountPartEnds, nil
	case CountPartAnswers:
		return commandCountPartAnswers, nil
	case ReviewParts:
		return commandReviewParts, nil
	default:
		return 0, errors.Errorf("unknown command %T", c)
	}
}

func decodeCommand(kind commandKind, data []byte) (Command, error) {
	switch kind {
	case commandPutResource:
		return decodeAs[PutResource](data)
	case commandDeleteResource:
		return decodeAs[DeleteResource](data)
	case commandClaimCall:
		return decodeAs[ClaimCall](data)
	case commandSettleClaim:
		return decodeAs[SettleClaim](data)
	case commandJoinMember:
		return decodeAs[JoinMember](data)
	case commandLeaveMember:
		return decodeAs[LeaveMember](data)
	case commandExpireMembers:
		return decodeAs[ExpireMembers](data)
	case commandSetRetention:
		return decodeAs[SetRetention](data)
	case commandPutRouting:
		return decodeAs[PutRouting](data)
	case commandNameNewest:
		return decodeAs[NameNewest](data)
	case commandAnnounce:
		return decodeAs[AnnounceMember](data)
	case commandRetire:
		return decodeAs[RetireMember](data)
	case commandCountEnds:
		return decodeAs[CountEnds](data)
	case commandClearSuspects:
		return decodeAs[ClearSuspects](data)
	case commandReviewSuspects:
		return decodeAs[ReviewSuspects](data)
	case commandCountPartEnds:
		return decodeAs[CountPartEnds](data)
	case commandCountPartAnswers:
		return decodeAs[CountPartAnswers](data)
	case commandReviewParts:
		return decodeAs[ReviewParts](data)
	default:
		return nil, errors.NotSupportedf("command kind %d", kind)
	}
}

// decodeAs decodes data into a T and returns it as a Command.
func decodeAs[T Command](data []byte) (Command, error) {
	var c T
	if err := decoding.Unmarshal(data, &c); err != nil {
		return nil, errors.Trace(err)
	}
	return c, nil
}

// MarshalCBOR encodes the resource. It returns an error if the type of the spec does
// not belong to the kind.
func (r Resource) MarshalCBOR() ([]byte, error) {
	if !specFits(r.Kind, r.Spec) {
		return nil, errors.Errorf("spec %T does not belong to kind %v", r.Spec, r.Kind)
	}
	spec, err := encoding.Marshal(r.Spec)
	if err != nil {
		return nil, errors.Annotatef(err, "encode spec of %v", r.Kind)
	}
	return encoding.Marshal(wireResource{
		Kind:      r.Kind,
		Workspace: r.Metadata.Workspace,
		Name:      r.Metadata.Name,
		Revision:  r.Metadata.Revision,
		Spec:      spec,
	})
}

// UnmarshalCBOR is the inverse of MarshalCBOR.
func (r *Resource) UnmarshalCBOR(data []byte) error {
	var w wireResource
	if err := decoding.Unmarshal(data, &w); err != nil {
		return errors.Annotate(err, "decode resource")
	}
	spec, err := decodeSpec(w.Kind, func(v any) error { return decoding.Unmarshal(w.Spec, v) })
	if err != nil {
		return errors.Annotatef(err, "decode spec of %v %s/%s", w.Kind, w.Workspace, w.Name)
	}
	*r = Resource{
		Kind:     w.Kind,
		Metadata: Metadata{Workspace: w.Workspace, Name: w.Name, Revision: w.Revision},
		Spec:     spec,
	}
	return nil
}

// specFits reports whether spec has the type that belongs to kind.
func specFits(kind Kind, spec Spec) bool {
	var want Kind
	switch spec.(type) {
	case WorkspaceSpec:
		want = KindWorkspace
	case AdapterSpec:
		want = KindAdapter
	case VersionSpec:
		want = KindVersion
	case PriorityRuleSpec:
		want = KindPriorityRule
	case ServiceSpec:
		want = KindService
	case KeySpec:
		want = KindKey
	case MemberSpec:
		want = KindMember
	case RoutingSpec:
		want = KindRouting
	case NewestSpec:
		want = KindNewest
	case SuspectSpec:
		want = KindSuspect
	case SoftwareSpec:
		want = KindSoftware
	case PartSpec:
		want = KindPart
	}
	return want != KindNone && want == kind
}

// decodeSpec returns a spec of the type that belongs to kind, decoded by
// unmarshal.
func decodeSpec(kind Kind, unmarshal func(v any) error) (Spec, error) {
	switch kind {
	case KindWorkspace:
		return specAs[WorkspaceSpec](unmarshal)
	case KindAdapter:
		return specAs[AdapterSpec](unmarshal)
	case KindVersion:
		return specAs[VersionSpec](unmarshal)
	case KindPriorityRule:
		return specAs[PriorityRuleSpec](unmarshal)
	case KindService:
		return specAs[ServiceSpec](unmarshal)
	case KindKey:
		return specAs[KeySpec](unmarshal)
	case KindMember:
		return specAs[MemberSpec](unmarshal)
	case KindRouting:
		return specAs[RoutingSpec](unmarshal)
	case KindNewest:
		return specAs[NewestSpec](unmarshal)
	case KindSuspect:
		return specAs[SuspectSpec](unmarshal)
	case KindSoftware:
		return specAs[SoftwareSpec](unmarshal)
	case KindPart:
		return specAs[PartSpec](unmarshal)
	default:
		return nil, errors.Errorf("unknown resource kind %d", int(kind))
	}
}

func specAs[T Spec](unmarshal func(v any) error) (Spec, error) {
	var s T
	if err := unmarshal(&s); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}
