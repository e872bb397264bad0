package separator

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Mode -trimprefix=Mode

// Mode specifies whether calls with long prompts are separated from those with short ones.
type Mode int

// The modes. ModeAuto is the zero value, since it is the default.
const (
	// ModeAuto is ModeSeparate for services whose backend servers report a slowdown factor,
	// and ModeMixed for others.
	ModeAuto Mode = iota
	// ModeMixed treats all engines alike.
	ModeMixed
	// ModeSeparate prefers designated engines for long prompts, and the others for short ones.
	ModeSeparate
)

// ParseMode returns the mode with the given name in lower case; an empty name means ModeAuto.
func ParseMode(name string) (Mode, error) {
	if name == "" {
		return ModeAuto, nil
	}
	for m := ModeAuto; m <= ModeSeparate; m++ {
		if strings.ToLower(m.String()) == name {
			return m, nil
		}
	}
	return ModeAuto, errors.NotValidf("%q, not auto, mixed or separate", name)
}

// Separates reports whether calls to a service are separated. SlowdownReported means that its
// backend servers report a slowdown factor.
func (m Mode) Separates(slowdownReported bool) bool {
	return m == ModeSeparate || m == ModeAuto && slowdownReported
}
