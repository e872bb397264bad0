package storer

import "github.com/juju/errors"

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind is the type of a resource.
type Kind int

// The kinds of resources. Members, the routing configuration, newest versions, suspects and
// parts are written by their own commands, and software versions by announcements
// of members; all others are declared individually by operators.
const (
	KindNone Kind = iota
	KindWorkspace
	KindAdapter
	KindVersion
	KindPriorityRule
	KindService
	KindKey
	KindMember
	// KindRouting is the complete routing configuration, as one document.
	KindRouting
	// KindNewest is the newest version of an adapter or model that no workspace
	// owns.
	KindNewest
	// KindSuspect is a request during which backend servers ended.
	KindSuspect
	// KindSoftware records the software versions that a service has had.
	KindSoftware
	// KindPart is a part of prompts during which backend servers ended.
	KindPart

	// kindLast is the last kind.
	kindLast = KindPart
)

// shared reports whether resources of the kind belong to no workspace.
func (k Kind) shared() bool {
	return k == KindMember || k == KindRouting || k == KindNewest || k == KindSuspect || k == KindSoftware || k == KindPart
}

// PathSegment returns the path segment of the kind in the operators' API, or an
// empty string for an unknown kind.
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
	case KindSoftware:
		return "software"
	case KindPart:
		return "parts"
	default:
		return ""
	}
}

// ParsePathSegment returns the kind with the given path segment in the operators'
// API.
func ParsePathSegment(segment string) (Kind, error) {
	for k := KindWorkspace; k <= kindLast; k++ {
		if k.PathSegment() == segment {
			return k, nil
		}
	}
	return KindNone, errors.NotValidf("resource kind %q", segment)
}
