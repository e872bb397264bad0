package storer

import (
	"encoding/hex"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Limits of the resources that operators and companions declare.
const (
	MaxName     = 128
	MaxText     = 1024
	MaxPriority = 9
	MaxShare    = 1000
	MaxPaths    = 256
	// MaxDeadlineMillis is one week, in milliseconds.
	MaxDeadlineMillis = 7 * 24 * 60 * 60 * 1000
	MaxIdempotencyKey = 512
	hashLength        = 32
	versionSeparator  = "@"
)

// VersionName returns the name of a version's resource, ADAPTER@VERSION.
func VersionName(adapter, version string) string { return adapter + versionSeparator + version }

// SplitVersionName returns the parts of ADAPTER@VERSION.
func SplitVersionName(name string) (adapter, version string, ok bool) {
	return strings.Cut(name, versionSeparator)
}

// ParseHash parses a SHA-256 hash in lower-case hexadecimal.
func ParseHash(text string) (hash [hashLength]byte, err error) {
	if len(text) != hex.EncodedLen(hashLength) || strings.ToLower(text) != text {
		return hash, errors.New("a hash is 64 lower-case hexadecimal digits")
	}
	_, err = hex.Decode(hash[:], []byte(text))
	return hash, errors.Annotate(err, "hash")
}

// Validate checks the names and the spec of a resource. References to other
// resources are checked when the write is applied.
func Validate(r Resource) error {
	if !specFits(r.Kind, r.Spec) {
		return errors.Errorf("spec %T does not belong to kind %v", r.Spec, r.Kind)
	}
	if err := validateKey(r.Key()); err != nil {
		return errors.Trace(err)
	}
	switch s := r.Spec.(type) {
	case WorkspaceSpec:
		return validateWorkspace(s)
	case AdapterSpec:
		return validateAdapter(s)
	case VersionSpec:
		return validateVersion(s)
	case PriorityRuleSpec:
		return validatePriorityRule(s)
	case ServiceSpec:
		return validateService(s)
	case KeySpec:
		_, err := ParseHash(s.Hash)
		return errors.Annotate(err, "Spec.Hash")
	case MemberSpec:
		return validateMember(s)
	case RoutingSpec, NewestSpec, SuspectSpec, SoftwareSpec, PartSpec:
		return nil
	default:
		return errors.Errorf("unknown spec %T", s)
	}
}

// normalized returns k; for a workspace, an empty Workspace is set to the name.
func (k Key) normalized() Key {
	if k.Kind == KindWorkspace && k.Workspace == "" {
		k.Workspace = k.Name
	}
	return k
}

func validateKey(k Key) error {
	if k.Kind.shared() {
		if k.Workspace != "" {
			return errors.Errorf("a resource of kind %v belongs to no workspace", k.Kind)
		}
		if k.Kind != KindMember {
			return errors.Annotate(validateText(k.Name), "name")
		}
		return errors.Annotate(validateMemberName(k.Name), "name of the member")
	}
	if err := validateName(k.Workspace); err != nil {
		return errors.Annotate(err, "workspace")
	}
	switch k.Kind {
	case KindWorkspace:
		if k.Name != k.Workspace {
			return errors.Errorf("workspace %q can't be named %q", k.Workspace, k.Name)
		}
		return nil
	case KindVersion:
		adapter, version, ok := SplitVersionName(k.Name)
		if !ok {
			return errors.Errorf("version name %q is not ADAPTER@VERSION", k.Name)
		}
		if err := validateName(adapter); err != nil {
			return errors.Annotate(err, "adapter of the version")
		}
		return errors.Annotate(validateName(version), "version")
	case KindAdapter, KindPriorityRule, KindService, KindKey:
		return errors.Annotate(validateName(k.Name), "name")
	default:
		return errors.Errorf("unknown resource kind %d", int(k.Kind))
	}
}

// validateName accepts names of lower-case letters, digits, '-', '_' and '.' that
// begin and end with a letter or digit. Names are used in paths, model names and
// metric labels without escaping.
func validateName(name string) error {
	if name == "" || len(name) > MaxName {
		return errors.Errorf("%.20q is not 1 to %d characters long", name, MaxName)
	}
	for i := range len(name) {
		if c := name[i]; !isNameByte(c) || (i == 0 || i == len(name)-1) && !isAlphanumeric(c) {
			return errors.Errorf("%q holds more than lower-case letters, digits and inner '-', '_' and '.'", name)
		}
	}
	return nil
}

func isAlphanumeric(c byte) bool { return 'a' <= c && c <= 'z' || '0' <= c && c <= '9' }

func isNameByte(c byte) bool { return isAlphanumeric(c) || c == '-' || c == '_' || c == '.' }

// validateMemberName accepts the node names that the settings allow: letters,
// digits, '-', '_' and '.'.
func validateMemberName(name string) error {
	if name == "" || len(name) > MaxName {
		return errors.Errorf("%.20q is not 1 to %d characters long", name, MaxName)
	}
	for i := range len(name) {
		if c := name[i]; !isNameByte(c) && (c < 'A' || c > 'Z') {
			return errors.Errorf("%q holds more than letters, digits, '-', '_' and '.'", name)
		}
	}
	return nil
}

// validateText accepts 1 to MaxText bytes of UTF-8 without control characters.
func validateText(text string) error {
	if text == "" || len(text) > MaxText || !utf8.ValidString(text) {
		return errors.Errorf("%d bytes given; 1 to %d of UTF-8 are allowed", len(text), MaxText)
	}
	if i := strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }); i >= 0 {
		return errors.Errorf("control character at byte %d", i)
	}
	return nil
}

func validateWorkspace(s WorkspaceSpec) error {
	switch {
	case s.Share < 0 || s.Share > MaxShare:
		return errors.Errorf("Spec.Share %d is not within 0 to %d", s.Share, MaxShare)
	case s.MaxInFlight < 0:
		return errors.Errorf("Spec.MaxInFlight %d is negative", s.MaxInFlight)
	case s.TokenRate < 0:
		return errors.Errorf("Spec.TokenRate %d is negative", s.TokenRate)
	case s.TokenBurst < 0:
		return errors.Errorf("Spec.TokenBurst %d is negative", s.TokenBurst)
	case s.TokenBurst > 0 && s.TokenRate == 0:
		return errors.Errorf("Spec.TokenBurst %d without a TokenRate", s.TokenBurst)
	default:
		return nil
	}
}

func validateAdapter(s AdapterSpec) error {
	if err := validateText(s.BaseModel); err != nil {
		return errors.Annotate(err, "Spec.BaseModel")
	}
	if s.Current == "" {
		return nil
	}
	return errors.Annotate(validateName(s.Current), "Spec.Current")
}

func validateVersion(s VersionSpec) error {
	if err := validateText(s.Source); err != nil {
		return errors.Annotate(err, "Spec.Source")
	}
	if s.SizeBytes < 0 {
		return errors.Errorf("Spec.SizeBytes %d is negative", s.SizeBytes)
	}
	if s.Digest == "" {
		return nil
	}
	_, err := ParseHash(s.Digest)
	return errors.Annotate(err, "Spec.Digest")
}

func validatePriorityRule(s PriorityRuleSpec) error {
	if s.Adapter != "" {
		if err := validateName(s.Adapter); err != nil {
			return errors.Annotate(err, "Spec.Adapter")
		}
	}
	if s.Key != "" {
		if err := validateName(s.Key); err != nil {
			return errors.Annotate(err, "Spec.Key")
		}
	}
	switch {
	case s.Priority < 0 || s.Priority > MaxPriority:
		return errors.Errorf("Spec.Priority %d is not within 0 to %d", s.Priority, MaxPriority)
	case s.DeadlineMillis < 0 || s.DeadlineMillis > MaxDeadlineMillis:
		return errors.Errorf("Spec.DeadlineMillis %d is not within 0 to %d", s.DeadlineMillis, MaxDeadlineMillis)
	default:
		return nil
	}
}

func validateService(s ServiceSpec) error {
	if len(s.IdempotentMethods) > MaxPaths || len(s.IdempotentPaths) > MaxPaths {
		return errors.Errorf("more than %d idempotent methods or paths", MaxPaths)
	}
	for _, m := range s.IdempotentMethods {
		if err := validateText(m); err != nil {
			return errors.Annotate(err, "Spec.IdempotentMethods")
		}
		if strings.ToUpper(m) != m || strings.ContainsAny(m, " /") {
			return errors.Errorf("Spec.IdempotentMethods: %q is not a method in capitals", m)
		}
	}
	for _, p := range s.IdempotentPaths {
		if err := validateText(p); err != nil {
			return errors.Annotate(err, "Spec.IdempotentPaths")
		}
	}
	return nil
}

func validateMember(s MemberSpec) error {
	if s.Kind < MemberKindEngine || s.Kind > MemberKindService {
		return errors.Errorf("unknown Spec.Kind %d", int(s.Kind))
	}
	if s.State < MemberStateServing || s.State > MemberStateLeaving {
		return errors.Errorf("unknown Spec.State %d", int(s.State))
	}
	for _, text := range []string{s.Address, s.Incarnation} {
		if err := validateText(text); err != nil {
			return errors.Annotate(err, "Spec.Address or Spec.Incarnation")
		}
	}
	if s.Slots < 0 || s.MaxBatch < 0 {
		return errors.Errorf("Spec.Slots %d or Spec.MaxBatch %d is negative", s.Slots, s.MaxBatch)
	}
	return nil
}
