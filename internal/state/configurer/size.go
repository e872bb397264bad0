package configurer

import (
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/juju/errors"
)

// Size is a number of bytes whose JSON form is a string with its unit, such as
// "64MiB".
type Size int64

// Binary units.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
	TiB       = 1024 * GiB
)

// maxSizeBytes is the largest size that ParseSize accepts: humanize.ParseBytes computes in
// float64, which represents larger numbers only approximately.
const maxSizeBytes = 1 << 53

// String returns s in the largest binary unit that divides it, so that ParseSize returns
// the same number.
func (s Size) String() string {
	n, unit := s, "B"
	for _, u := range []string{"KiB", "MiB", "GiB", "TiB"} {
		if n == 0 || n%1024 != 0 {
			break
		}
		n, unit = n/1024, u
	}
	return strconv.FormatInt(int64(n), 10) + unit
}

// MarshalText returns s with its unit.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText sets s from text such as "64MiB".
func (s *Size) UnmarshalText(text []byte) error {
	v, err := ParseSize(string(text))
	if err != nil {
		return errors.Trace(err)
	}
	*s = v
	return nil
}

// ParseSize parses a size with its unit, decimal ("64MB") or binary ("64MiB"). It refuses
// a number without a unit and more than 2^53 bytes. A fraction of a byte is discarded.
func ParseSize(s string) (Size, error) {
	v, err := humanize.ParseBytes(s)
	if err != nil || !strings.HasSuffix(s, "B") || v > maxSizeBytes {
		return 0, errors.Errorf(`%q is no size with its unit, such as "64MiB"`, s)
	}
	return Size(v), nil
}
