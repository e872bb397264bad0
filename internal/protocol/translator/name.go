package translator

import (
	"strings"

	"github.com/juju/errors"
)

// MaxName bounds the bytes of a workspace's, adapter's or version's name.
const MaxNameBytes = 128

// Name is what a caller writes as model: WORKSPACE/ADAPTER or
// WORKSPACE/ADAPTER@VERSION.
type ModelName struct {
	Workspace string
	Adapter   string
	// Version is empty where the caller leaves it to the operators.
	Version string
}

// String returns the name as a caller writes it.
func (n ModelName) String() string {
	if n.Version == "" {
		return n.Workspace + "/" + n.Adapter
	}
	return n.Workspace + "/" + n.Adapter + "@" + n.Version
}

// ParseName reads a model's name.
func ParseModelName(text string) (ModelName, error) {
	workspace, rest, ok := strings.Cut(text, "/")
	adapter, version, versioned := strings.Cut(rest, "@")
	if !ok || !validPart(workspace) || !validPart(adapter) || versioned && !validPart(version) {
		return ModelName{}, errors.NotValidf("model %.300q, which is not WORKSPACE/ADAPTER or WORKSPACE/ADAPTER@VERSION,", text)
	}
	return ModelName{Workspace: workspace, Adapter: adapter, Version: version}, nil
}

func validPart(part string) bool {
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
