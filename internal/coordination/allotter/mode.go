package allotter

import "github.com/juju/errors"

// Mode specifies whether buffers are limited.
type Mode int

// The modes. ModeAuto is the zero value, since it is the default.
const (
	// ModeAuto is ModeBounded for services whose backend servers report a slowdown factor, and
	// ModeUnbounded for others.
	ModeAuto Mode = iota
	// ModeUnbounded counts what is buffered, without a limit except for answers that are long or
	// state no length.
	ModeUnbounded
	// ModeBounded limits what is buffered, and the time for which callers may send or read.
	ModeBounded
)

// ParseMode returns the mode with the given name; the empty name means ModeAuto.
func ParseMode(name string) (Mode, error) {
	switch name {
	case "", "auto":
		return ModeAuto, nil
	case "unbounded":
		return ModeUnbounded, nil
	case "bounded":
		return ModeBounded, nil
	default:
		return ModeAuto, errors.NotValidf("%q, none of unbounded, bounded and auto", name)
	}
}

// Bounds reports whether buffers are limited, where slowdownReported is what ModeAuto depends on.
func (m Mode) Bounds(slowdownReported bool) bool {
	return m == ModeBounded || m == ModeAuto && slowdownReported
}
