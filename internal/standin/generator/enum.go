package generator

import "github.com/juju/errors"

//go:generate stringer -type=Outcome,OrderKind,Fencing -output=enum_string.go

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	// InProgress means that the run has not ended.
	InProgress Outcome = iota
	// Completed means that all tokens were generated.
	Completed
	// Cancelled means that a cancel order ended the run.
	Cancelled
	// Abandoned means that nobody listened for the grace.
	Abandoned
	// Unloaded means that the adapter was unloaded under the run.
	Unloaded
	// Lost means that the engine restarted or closed.
	Lost
	// Moved means that the run was exported.
	Moved
)

// OrderKind is a kind of order.
type OrderKind int

// The kinds of orders.
const (
	LoadOrder OrderKind = iota
	UnloadOrder
	RoleOrder
	ExportOrder
	ImportOrder
)

// Fencing is a fault that overrides Settings.ChecksFencing.
type Fencing int

// The ways to treat fencing numbers.
const (
	// AsSet follows the settings.
	AsSet Fencing = iota
	// Honoured refuses orders with an old number.
	Honoured
	// Ignored obeys them.
	Ignored
)

// MarshalText writes the outcome by its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads an outcome by its name.
func (o *Outcome) UnmarshalText(text []byte) error {
	return parse(o, text, InProgress, Completed, Cancelled, Abandoned, Unloaded, Lost, Moved)
}

// MarshalText writes the kind by its name.
func (k OrderKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *OrderKind) UnmarshalText(text []byte) error {
	return parse(k, text, LoadOrder, UnloadOrder, RoleOrder, ExportOrder, ImportOrder)
}

// MarshalText writes the fault by its name.
func (f Fencing) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads a fault by its name.
func (f *Fencing) UnmarshalText(text []byte) error {
	return parse(f, text, AsSet, Honoured, Ignored)
}

// parse sets target to the known value that text names.
func parse[T interface{ String() string }](target *T, text []byte, known ...T) error {
	for _, value := range known {
		if value.String() == string(text) {
			*target = value
			return nil
		}
	}
	return errors.NotValidf("%T %q", *target, text)
}
