package storer

import "github.com/juju/errors"

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind tells the sorts of resources apart.
type Kind int

// The kinds of resources. Members are written by the registrar alone, the
// routing, the named versions and suspects by commands of their own; all others are
// declared by operators one by one.
const (
	KindNone Kind = iota
	KindWorkspace
	KindAdapter
	KindVersion
	KindPriorityRule
	KindService
	KindKey
	KindMember
	// KindRouting is the whole routing configuration, one document.
	KindRouting
	// KindNewest is the newest version of an adapter or model that no workspace
	// owns.
	KindNewest
	// KindSuspect is a request under which backend servers ended.
	KindSuspect

	// kindLast is the last kind.
	kindLast = KindSuspect
)

// shared reports whether resources of the kind belong to no workspace.
func (k Kind) shared() bool {
	return k == KindMember || k == KindRouting || k == KindNewest || k == KindSuspect
}

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
	case KindRouting:
		return "routing"
	case KindNewest:
		return "newest"
	case KindSuspect:
		return "suspects"
	default:
		return ""
	}
}

// ParsePathSegment returns the kind which operators address by segment.
func ParsePathSegment(segment string) (Kind, error) {
	for k := KindWorkspace; k <= kindLast; k++ {
		if k.PathSegment() == segment {
			return k, nil
		}
	}
	return KindNone, errors.NotValidf("resource kind %q", segment)
}
