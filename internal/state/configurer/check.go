package configurer

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"
)

// maxNameLength is the maximum length of a name in bytes, which is that of a DNS label.
const maxNameLength = 63

// Limits used for several settings.
const (
	minInterval = Duration(time.Millisecond)
	maxInterval = Duration(time.Minute)
	maxTimeout  = Duration(24 * time.Hour)
	maxCount    = 1 << 24
	maxVoters   = 9
	maxTokens   = 1 << 40
)

// Check returns the problems of s, without line and column, or nil. It uses the defaults
// for zero values, and checks only the sections of the roles in s.Roles. It reads no
// files.
func (s Settings) Check() []Problem {
	s = s.WithDefaults()
	c := &checker{}
	c.name("Node", s.Node)
	c.name("Region", s.Region)
	c.name("FailureDomain", s.FailureDomain)
	c.roles(s.Roles)
	c.controlHosts(s.ControlHosts)
	if s.HasRole(RoleControl) {
		c.control(s)
	}
	if s.HasRole(RoleEntry) {
		c.entry(s.Entry, s.Stop)
	}
	if s.HasRole(RoleCompanion) {
		c.companion(s.Companion, s.Stop)
	}
	if s.HasRole(RoleControl) && s.HasRole(RoleCompanion) && 3*s.Companion.HeartbeatInterval > s.Control.MemberLease {
		c.addProblem("Companion.HeartbeatInterval", "more than a third of Control.MemberLease, %v, so that one late heartbeat ends it", s.Control.MemberLease)
	}
	c.operators(s.Operators)
	c.peers(s.Peers)
	c.limits(s.Limits)
	checkEnum(c, "Log.Level", s.Log.Level, LogLevelError)
	checkEnum(c, "Log.Format", s.Log.Format, LogFormatConsole)
	checkRange(c, "Stop.BalancerDelay", s.Stop.BalancerDelay, minInterval, Duration(10*time.Minute))
	checkRange(c, "Stop.GracePeriod", s.Stop.GracePeriod, minInterval, maxTimeout)
	checkRange(c, "Events.RingSize", s.Events.RingSize, 16, maxCount)
	c.listeners(s)
	return c.problems
}

// checker collects the problems of settings.
type checker struct {
	problems []Problem
}

// addProblem adds a problem of the field at path.
func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// name checks a name: 1 to 63 letters, digits, hyphens, underscores and dots.
func (c *checker) name(path, value string) {
	if value == "" {
		c.addProblem(path, "required")
		return
	}
	if len(value) > maxNameLength {
		c.addProblem(path, "longer than %d characters", maxNameLength)
		return
	}
	for _, r := range value {
		if !isNameRune(r) {
			c.addProblem(path, "%q holds %q; a name has letters, digits, '-', '_' and '.'", value, r)
			return
		}
	}
}

// IsName reports whether s is a valid name in settings: 1 to 63 letters, digits,
// hyphens, underscores and dots.
func IsName(s string) bool {
	c := &checker{}
	c.name("", s)
	return len(c.problems) == 0
}

func isNameRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '-' || r == '_' || r == '.'
}

// address checks and returns an IP and port; ok is false if they are invalid. It accepts
// only the canonical form, so that equal addresses are equal strings.
func (c *checker) address(path, value string) (a netip.AddrPort, ok bool) {
	if value == "" {
		c.addProblem(path, "required")
		return a, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.String() != value {
		c.addProblem(path, `%q is no IP and port, such as "10.20.1.5:7400"`, value)
		return a, false
	}
	return a, true
}

// connectAddress checks an address to which this or another process connects.
func (c *checker) connectAddress(path, value string) (a netip.AddrPort, ok bool) {
	a, ok = c.address(path, value)
	if !ok {
		return a, false
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		c.addProblem(path, "%q is no address to connect to", value)
		return a, false
	}
	return a, true
}

// path checks the absolute path of a file or folder.
func (c *checker) path(path, value string) {
	switch {
	case value == "":
		c.addProblem(path, "required")
	case !filepath.IsAbs(value):
		c.addProblem(path, "%q is no absolute path", value)
	}
}

// roles checks that there is at least one role and no role is given twice.
func (c *checker) roles(roles []Role) {
	if len(roles) == 0 {
		c.addProblem("Roles", "required")
	}
	seen := make(map[Role]bool, len(roles))
	for i, r := range roles {
		path := elementPath("Roles", i)
		if seen[r] {
			c.addProblem(path, "%v given twice", r)
		}
		seen[r] = true
		checkEnum(c, path, r, RoleControl)
	}
}

// controlHosts checks that hosts are complete and differ in ID and address: two hosts
// with the same ID would vote twice.
func (c *checker) controlHosts(hosts []ControlHost) {
	if len(hosts) == 0 {
		c.addProblem("ControlHosts", "required")
	}
	identities := make(map[uint64]bool, len(hosts))
	addresses := make(map[string]bool, len(hosts))
	for i, h := range hosts {
		path := elementPath("ControlHosts", i)
		switch {
		case h.ID == 0:
			c.addProblem(path+".ID", "required, from 1")
		case identities[h.ID]:
			c.addProblem(path+".ID", "%d given twice", h.ID)
		}
		identities[h.ID] = true
		if _, ok := c.connectAddress(path+".Address", h.Address); ok && addresses[h.Address] {
			c.addProblem(path+".Address", "%q given twice", h.Address)
		}
		addresses[h.Address] = true
		c.name(path+".FailureDomain", h.FailureDomain)
		c.name(path+".Region", h.Region)
	}
}

// operators checks the section Operators.
func (c *checker) operators(o OperatorsSettings) {
	a, ok := c.address("Operators.Listen", o.Listen)
	switch {
	case o.KeyFile != "":
		c.path("Operators.KeyFile", o.KeyFile)
	case ok && !a.Addr().IsLoopback():
		c.addProblem("Operators.KeyFile", "required, since Operators.Listen is not on the loopback")
	}
}

// listeners checks that no two listeners of the process have the same address, since the
// second one could not be opened.
func (c *checker) listeners(s Settings) {
	listeners := []struct {
		path, address string
		open          bool
	}{
		{"Control.Listen", s.Control.Listen, s.HasRole(RoleControl)},
		{"Entry.Listen", s.Entry.Listen, s.HasRole(RoleEntry)},
		{"Companion.Listen", s.Companion.Listen, s.HasRole(RoleCompanion)},
		{"Operators.Listen", s.Operators.Listen, true},
	}
	paths := make(map[string]string, len(listeners))
	for _, l := range listeners {
		a, err := netip.ParseAddrPort(l.address)
		if err != nil || !l.open || a.Port() == 0 {
			continue
		}
		if other, ok := paths[l.address]; ok {
			c.addProblem(l.path, "%q is %s already", l.address, other)
		}
		paths[l.address] = l.path
	}
}

// elementPath returns the path of element i of the array at path.
func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// checkRange checks that value is between low and high, inclusive. NaN is refused.
func checkRange[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	c.addProblem(path, "%v is not between %v and %v", value, low, high)
}

// checkEnum checks that value is between 0 and last. Values from a settings file are,
// but a program may set others.
func checkEnum[T enum](c *checker, path string, value, last T) {
	if value < 0 || value > last {
		c.addProblem(path, "%d is no %T", int(value), value)
	}
}
