package configurer

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration whose JSON form is a string with its unit, such as
// "250ms" or "1m30s".
type Duration time.Duration

// String returns d in the form that ParseDuration accepts, without the trailing zero
// seconds and minutes that time.Duration writes.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText returns d with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText sets d from text such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := ParseDuration(string(text))
	if err != nil {
		return errors.Trace(err)
	}
	*d = v
	return nil
}

// ParseDuration parses a duration with its unit. Unlike time.ParseDuration it refuses
// "0", so that every number has a unit.
func ParseDuration(s string) (Duration, error) {
	v, err := time.ParseDuration(s)
	if err != nil || strings.TrimLeft(s, "+-") == "0" {
		return 0, errors.Errorf(`%q is no duration with its unit, such as "250ms"`, s)
	}
	return Duration(v), nil
}
