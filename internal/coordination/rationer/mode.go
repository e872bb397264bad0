package rationer

import "github.com/juju/errors"

// Mode is whether requests are ordered by rank and refused while capacity is short.
type Mode int

// The modes.
const (
	// ModeAuto means where the service's backend servers report how fast they are.
	ModeAuto Mode = iota
	ModeOff
	ModeOn
)

// ParseMode returns the mode with the given name; the empty name means ModeAuto.
func ParseMode(name string) (Mode, error) {
	switch name {
	case "", "auto":
		return ModeAuto, nil
	case "off":
		return ModeOff, nil
	case "on":
		return ModeOn, nil
	default:
		return ModeAuto, errors.NotValidf("%q, none of off, on and auto", name)
	}
}

// Applies reports whether requests are rationed, where condition is what ModeAuto depends on.
func (m Mode) Applies(condition bool) bool { return m == ModeOn || m == ModeAuto && condition }
