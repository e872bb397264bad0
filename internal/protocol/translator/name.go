package translator

import (
	"strings"

	"github.com/juju/errors"
)

// MaxNameBytes is the maximum length of the name of a workspace, an adapter or a version.
const MaxNameBytes = 128

// Name is the model name in a request: WORKSPACE/ADAPTER or
// WORKSPACE/ADAPTER@VERSION.
type Name struct {
	Workspace string
	Adapter   string
	// Version is empty if the version is determined by the operators.
	Version string
}

// String returns the name in the form used in requests.
func (n Name) String() string {
	if n.Version == "" {
		return n.Workspace + "/" + n.Adapter
	}
	return n.Workspace + "/" + n.Adapter + "@" + n.Version
}

// ParseModelName parses a model name.
func ParseModelName(text string) (Name, error) {
	workspace, rest, ok := strings.Cut(text, "/")
	adapter, version, versioned := strings.Cut(rest, "@")
	if !ok || !isValidPart(workspace) || !isValidPart(adapter) || versioned && !isValidPart(version) {
		return Name{}, errors.NotValidf("model %.300q, which is not WORKSPACE/ADAPTER or WORKSPACE/ADAPTER@VERSION,", text)
	}
	return Name{Workspace: workspace, Adapter: adapter, Version: version}, nil
}

func isValidPart(part string) bool {
	if part == "" || len(part) > MaxNameBytes {
		return false
	}
	for i := range len(part) {
		switch c := part[i]; {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}
