package announcer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// Limits of an announcement.
const (
	// MaxBytes is the maximum size of an announcement.
	MaxBytes = 4 << 10
	// maxTextBytes is the maximum length of a text field.
	maxTextBytes = 256
	// maxCount is the maximum value of a number field, the same as in the settings.
	maxCount = 1 << 24
)

// The fields of an Announcement.
const (
	FieldAddress       = "Address"
	FieldKind          = "Kind"
	FieldBaseModel     = "BaseModel"
	FieldService       = "Service"
	FieldSlots         = "Slots"
	FieldMaxBatch      = "MaxBatch"
	FieldChecksFencing = "ChecksFencing"
	FieldIncarnation   = "Incarnation"
)

// Announcement describes a backend server to its companion.
type Announcement struct {
	// Address is the IP address and port of the backend server in canonical form. It
	// must be a loopback address for an engine unless ChecksFencing is set.
	Address string
	// Kind is the kind of the backend server. If omitted it is BackendKindEngine, as in
	// the settings.
	Kind configurer.BackendKind
	// BaseModel is the base model of an engine; empty for a plain service.
	BaseModel string
	// Service is the name under which operators declared the plain service; empty for
	// an engine.
	Service string
	// Slots is the number of adapter slots of an engine; 0 means that it is taken from
	// the state of the engine.
	Slots int
	// MaxBatch is the maximum number of concurrent requests; 0 means that it is taken
	// from the state of the engine, or that the companion's default applies to a plain
	// service.
	MaxBatch int
	// ChecksFencing means that an engine refuses orders with an outdated fencing number.
	ChecksFencing bool
	// Incarnation identifies the current run of the backend server. Each incarnation
	// has a different value.
	Incarnation string
}

// Parse decodes and validates an announcement. Its error is an *Answer.
func Parse(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxBytes {
		return a, malformed("", "longer than 4 KiB")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return a, malformed("", "no JSON object")
	}
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return a, malformed("", "no JSON object")
		}
		if seen[name] {
			return a, malformed(name, "given twice")
		}
		seen[name] = true
		if err := a.read(name, d); err != nil {
			return a, err
		}
	}
	if t, err := d.Token(); err != nil || t != json.Delim('}') {
		return a, malformed("", "no whole JSON object")
	}
	if _, err := d.Token(); err != io.EOF {
		return a, malformed("", "something follows the object")
	}
	return a, a.Validate()
}

// read decodes the next value of d into the field with the given name.
func (a *Announcement) read(name string, d *json.Decoder) error {
	target := a.field(name)
	if target == nil {
		return malformed(name, "unknown field")
	}
	var raw json.RawMessage
	switch err := d.Decode(&raw); {
	case err != nil:
		return malformed(name, "no JSON value")
	case string(raw) == "null":
		return malformed(name, "null; leave the field out")
	case json.Unmarshal(raw, target) != nil:
		return malformed(name, "a value of another type is wanted")
	}
	return nil
}

// field returns a pointer to the field with the given name, or nil if it is unknown.
func (a *Announcement) field(name string) any {
	switch name {
	case FieldAddress:
		return &a.Address
	case FieldKind:
		return &a.Kind
	case FieldBaseModel:
		return &a.BaseModel
	case FieldService:
		return &a.Service
	case FieldSlots:
		return &a.Slots
	case FieldMaxBatch:
		return &a.MaxBatch
	case FieldChecksFencing:
		return &a.ChecksFencing
	case FieldIncarnation:
		return &a.Incarnation
	default:
		return nil
	}
}

// Validate returns nil if a is valid, and otherwise an *Answer that names the invalid
// field.
func (a Announcement) Validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case err != nil || address.String() != a.Address:
		return malformed(FieldAddress, `no IP and port, such as "127.0.0.1:8000"`)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Port() == 0:
		return malformed(FieldAddress, "no address to connect to")
	case a.MaxBatch < 0 || a.MaxBatch > maxCount:
		return malformed(FieldMaxBatch, "outside 0 to 16777216")
	case !isText(a.Incarnation):
		return malformed(FieldIncarnation, textRequired)
	}
	switch a.Kind {
	case configurer.BackendKindEngine:
		return a.checkEngine(address.Addr())
	case configurer.BackendKindService:
		return a.checkService()
	default:
		return malformed(FieldKind, "neither Engine nor Service")
	}
}

func (a Announcement) checkEngine(ip netip.Addr) error {
	switch {
	case !a.ChecksFencing && !ip.IsLoopback():
		// Any process that can reach such an engine could load and unload adapters
		// without the companion noticing.
		return malformed(FieldAddress, "not on the loopback, which an engine that doesn't check fencing numbers needs")
	case !isText(a.BaseModel):
		return malformed(FieldBaseModel, textRequired)
	case a.Service != "":
		return malformed(FieldService, "an engine has none")
	case a.Slots < 0 || a.Slots > maxCount:
		return malformed(FieldSlots, "outside 0 to 16777216")
	}
	return nil
}

func (a Announcement) checkService() error {
	switch {
	case !configurer.IsName(a.Service):
		return malformed(FieldService, "required: 1 to 63 letters, digits, '-', '_' and '.'")
	case a.BaseModel != "":
		return malformed(FieldBaseModel, "a plain service has none")
	case a.Slots != 0:
		return malformed(FieldSlots, "a plain service has none")
	case a.ChecksFencing:
		return malformed(FieldChecksFencing, "a plain service takes no orders")
	}
	return nil
}

const textRequired = "required: 1 to 256 bytes of printable text"

func isText(s string) bool {
	if s == "" || len(s) > maxTextBytes {
		return false
	}
	for _, r := range s {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
