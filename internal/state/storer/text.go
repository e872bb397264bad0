package storer

import (
	"fmt"

	"github.com/juju/errors"
)

// MarshalText returns the kind's name, which is used in JSON.
func (k Kind) MarshalText() ([]byte, error) { return marshalName(k, kindLast) }

// UnmarshalText is the inverse of MarshalText.
func (k *Kind) UnmarshalText(text []byte) error { return unmarshalName(k, kindLast, text) }

// MarshalText returns the kind's name, which is used in JSON.
func (k MemberKind) MarshalText() ([]byte, error) { return marshalName(k, MemberKindService) }

// UnmarshalText is the inverse of MarshalText.
func (k *MemberKind) UnmarshalText(text []byte) error {
	return unmarshalName(k, MemberKindService, text)
}

// MarshalText returns the state's name, which is used in JSON.
func (m MemberState) MarshalText() ([]byte, error) { return marshalName(m, MemberStateLeaving) }

// UnmarshalText is the inverse of MarshalText.
func (m *MemberState) UnmarshalText(text []byte) error {
	return unmarshalName(m, MemberStateLeaving, text)
}

// MarshalText returns the state's name, which is used in JSON.
func (c ClaimState) MarshalText() ([]byte, error) { return marshalName(c, ClaimStateUnknown) }

// UnmarshalText is the inverse of MarshalText.
func (c *ClaimState) UnmarshalText(text []byte) error {
	return unmarshalName(c, ClaimStateUnknown, text)
}

// MarshalText returns the verdict's name, which is used in JSON.
func (v Verdict) MarshalText() ([]byte, error) { return marshalName(v, VerdictFull) }

// UnmarshalText is the inverse of MarshalText.
func (v *Verdict) UnmarshalText(text []byte) error { return unmarshalName(v, VerdictFull, text) }

// enum is an enumeration whose values start at zero, with generated names.
type enum interface {
	~int
	fmt.Stringer
}

// marshalName returns the name of e, or an error if e is not within 0 to last.
func marshalName[E enum](e, last E) ([]byte, error) {
	if e < 0 || e > last {
		return nil, errors.Errorf("%T %d has no name", e, int(e))
	}
	return []byte(e.String()), nil
}

// unmarshalName sets e to the value with the given name, within 0 to last.
func unmarshalName[E enum](e *E, last E, text []byte) error {
	for v := E(0); v <= last; v++ {
		if v.String() == string(text) {
			*e = v
			return nil
		}
	}
	return errors.Errorf("unknown name %q", text)
}
