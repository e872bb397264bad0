package cacher

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Mode -trimprefix=Mode

// Mode specifies how cached prompt parts affect the choice of an engine.
type Mode int

// The modes. ModeAuto is the zero value, since it is the default.
const (
	// ModeAuto is ModeWeighed for services whose backend servers report a slowdown factor,
	// and ModeAffinity for others.
	ModeAuto Mode = iota
	// ModeOff ignores cached parts.
	ModeOff
	// ModeAffinity counts every part that was prefilled recently as cached.
	ModeAffinity
	// ModeWeighed weighs parts by the probability that they are still cached, and considers
	// fetches from other engines.
	ModeWeighed
)

// ParseMode returns the mode with the given name in lower case; an empty name means ModeAuto.
func ParseMode(name string) (Mode, error) {
	if name == "" {
		return ModeAuto, nil
	}
	for m := ModeAuto; m <= ModeWeighed; m++ {
		if strings.ToLower(m.String()) == name {
			return m, nil
		}
	}
	return ModeAuto, errors.NotValidf("%q, not auto, off, affinity or weighed", name)
}

// Resolve returns the mode in effect for a service. SlowdownReported means that its backend servers
// report a slowdown factor.
func (m Mode) Resolve(slowdownReported bool) Mode {
	switch {
	case m != ModeAuto:
		return m
	case slowdownReported:
		return ModeWeighed
	default:
		return ModeAffinity
	}
}
