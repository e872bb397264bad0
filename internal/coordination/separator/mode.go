package separator

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Mode -trimprefix=Mode

// Mode specifies whether calls with long prompts are separated from those with short ones.
type Mode int

// The modes. ModeMixed is the zero value, since it is the default: where engines are short, separated
// long prompts wait for each other.
const (
	// ModeMixed treats all engines alike.
	ModeMixed Mode = iota
	// ModeSeparate prefers designated engines for long prompts, and the others for short ones.
	ModeSeparate
)

// ParseMode returns the mode with the given name in lower case; an empty name means ModeMixed.
func ParseMode(name string) (Mode, error) {
	if name == "" {
		return ModeMixed, nil
	}
	for m := ModeMixed; m <= ModeSeparate; m++ {
		if strings.ToLower(m.String()) == name {
			return m, nil
		}
	}
	return ModeMixed, errors.NotValidf("%q, not mixed or separate", name)
}
