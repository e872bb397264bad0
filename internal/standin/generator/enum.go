package generator

import "github.com/juju/errors"

//go:generate stringer -type=Outcome,OrderKind,Fencing -output=enum_string.go

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of a run.
const (
	// InProgress means that the run has not ended.
	InProgress Outcome = iota
	// Completed means that all tokens were generated.
	Completed
	// Cancelled means that a cancel order ended the run.
	Cancelled
	// Abandoned means that no client was connected for Settings.StreamGrace.
	Abandoned
	// Unloaded means that the adapter was unloaded during the run.
	Unloaded
	// Lost means that the engine restarted or closed.
	Lost
	// Moved means that the request was exported to another engine.
	Moved
)

// OrderKind is the kind of an order.
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

// The modes of handling fencing numbers.
const (
	// AsSet applies Settings.ChecksFencing.
	AsSet Fencing = iota
	// Honoured refuses orders with an outdated fencing number.
	Honoured
	// Ignored executes them.
	Ignored
)

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	return parse(o, text, InProgress, Completed, Cancelled, Abandoned, Unloaded, Lost, Moved)
}

// MarshalText returns the kind's name.
func (k OrderKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *OrderKind) UnmarshalText(text []byte) error {
	return parse(k, text, LoadOrder, UnloadOrder, RoleOrder, ExportOrder, ImportOrder)
}

// MarshalText returns the fault's name.
func (f Fencing) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the name of a fault.
func (f *Fencing) UnmarshalText(text []byte) error {
	return parse(f, text, AsSet, Honoured, Ignored)
}

// parse sets target to the known value with the name text.
func parse[T interface{ String() string }](target *T, text []byte, known ...T) error {
	for _, value := range known {
		if value.String() == string(text) {
			*target = value
			return nil
		}
	}
	return errors.NotValidf("%T %q", *target, text)
}
