package regulator

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=NoticeKind -trimprefix=Notice

// NoticeKind is the kind of a Notice.
type NoticeKind int

// The kinds of notices.
const (
	// NoticeMissing means that the answer says nothing about a limit: another incarnation
	// or another process gave it, or the limit that it names is malformed.
	NoticeMissing NoticeKind = iota
	// NoticeUnlimited means that the backend server answered without naming a limit.
	NoticeUnlimited
	// NoticeLimited means that the answer names a limit.
	NoticeLimited
)

// Notice is what one answer says about the limit of the backend server.
type Notice struct {
	Kind NoticeKind
	// Rate is the limit in requests per second, only with NoticeLimited. It is finite and
	// not negative.
	Rate float64
}

// ParseNotice returns what an answer says whose header has the given values for the limit,
// in requests per second. It returns an error, and NoticeMissing, if they are not a single
// decimal number of at least 0.
func ParseNotice(values []string) (Notice, error) {
	values = slices.Compact(slices.Clone(values))
	switch {
	case len(values) == 0:
		return Notice{Kind: NoticeUnlimited}, nil
	case len(values) > 1:
		return Notice{}, errors.NotValidf("limits %q in one answer", values)
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Notice{}, errors.NotValidf("limit %q", values[0])
	}
	return Notice{Kind: NoticeLimited, Rate: rate}, nil
}
