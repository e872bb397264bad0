package storer

import (
	"fmt"

	"github.com/juju/errors"
)

// MarshalText returns the kind's name, as JSON shows it.
func (k Kind) MarshalText() ([]byte, error) { return marshalName(k, kindLast) }

// UnmarshalText is the inverse of MarshalText.
func (k *Kind) UnmarshalText(text []byte) error { return unmarshalName(k, kindLast, text) }

// MarshalText returns the kind's name, as JSON shows it.
func (k MemberKind) MarshalText() ([]byte, error) { return marshalName(k, MemberKindService) }

// UnmarshalText is the inverse of MarshalText.
func (k *MemberKind) UnmarshalText(text []byte) error {
	return unmarshalName(k, MemberKindService, text)
}

// MarshalText returns the state's name, as JSON shows it.
func (m MemberState) MarshalText() ([]byte, error) { return marshalName(m, MemberStateLeaving) }

// UnmarshalText is the inverse of MarshalText.
func (m *MemberState) UnmarshalText(text []byte) error {
	return unmarshalName(m, MemberStateLeaving, text)
}

// MarshalText returns the state's name, as JSON shows it.
func (c ClaimState) MarshalText() ([]byte, error) { return marshalName(c, ClaimStateUnknown) }

// UnmarshalText is the inverse of MarshalText.
func (c *ClaimState) UnmarshalText(text []byte) error {
	return unmarshalName(c, ClaimStateUnknown, text)
}

// MarshalText returns the verdict's name, as JSON shows it.
func (v Verdict) MarshalText() ([]byte, error) { return marshalName(v, VerdictFull) }

// UnmarshalText is the inverse of MarshalText.
func (v *Verdict) UnmarshalText(text []byte) error { return unmarshalName(v, VerdictFull, text) }

// enum is an enumeration which counts from zero, with generated names.
type enum interface {
	~int
	fmt.Stringer
}

func marshalName[E enum](e, last E) ([]byte, error) {
	if e < 0 || e > last {
		return nil, errors.Errorf("%T %d has no name", e, int(e))
	}
	return []byte(e.String()), nil
}

func unmarshalName[E enum](e *E, last E, text []byte) error {
	for v := E(0); v <= last; v++ {
		if v.String() == string(text) {
			*e = v
			return nil
		}
	}
	return errors.Errorf("unknown name %q", text)
}
