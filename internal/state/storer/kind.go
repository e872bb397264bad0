package storer

import "github.com/juju/errors"

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind tells the sorts of resources apart.
type Kind int

// The kinds of resources. Members are written by the registrar alone; all
// others are declared by operators.
const (
	KindNone Kind = iota
	KindWorkspace
	KindAdapter
	KindVersion
	KindPriorityRule
	KindService
	KindKey
	KindMember
)

// PathSegment returns the plural under which operators address the kind.
func (k Kind) PathSegment() string {
	switch k {
	case KindWorkspace:
		return "workspaces"
	case KindAdapter:
		return "adapters"
	case KindVersion:
		return "versions"
	case KindPriorityRule:
		return "priorityrules"
	case KindService:
		return "services"
	case KindKey:
		return "keys"
	case KindMember:
		return "members"
	default:
		return ""
	}
}

// ParsePathSegment returns the kind which operators address by segment.
func ParsePathSegment(segment string) (Kind, error) {
	for k := KindWorkspace; k <= KindMember; k++ {
		if k.PathSegment() == segment {
			return k, nil
		}
	}
	return KindNone, errors.NotValidf("resource kind %q", segment)
}
