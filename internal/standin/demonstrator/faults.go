package demonstrator

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Fault,FaultPromise -output=faults_string.go

// Fault is something that goes wrong while a deployment serves.
type Fault int

// The faults, in the order of runs.
const (
	// EngineRestart: an engine restarts empty in mid-stream.
	EngineRestart Fault = iota
	// CompanionKill: a companion is killed beside a living engine, and returns.
	CompanionKill
	// CompanionStop: a companion stops as planned beside a living engine, and
	// returns.
	CompanionStop
	// BackendLeaves: an engine and a plain service leave, and return later.
	BackendLeaves
	// LeaderKill: the host that leads control is killed, and returns.
	LeaderKill
	// LeaderStop: the host that leads control stops as planned, and returns.
	LeaderStop
	// EntryKill: an entry that does not lead is killed, and returns.
	EntryKill
	// EntryStop: an entry that does not lead stops as planned, and returns.
	EntryStop
	// SilentEntry: the connections between entries and companions go silent for
	// good, while new ones work.
	SilentEntry
	// SilentEngine: those between companions and backend servers do.
	SilentEngine
	// SilentControl: those between nodes and control hosts do.
	SilentControl
	// FailingLoads: loads of adapters fail, every other one.
	FailingLoads
	// SlowStore: the weight store answers late.
	SlowStore
	// LeaderCut: the leader is silently cut off for seconds, both ways.
	LeaderCut
	// LeaderCutOutbound: what the leader sends is held back for seconds.
	LeaderCutOutbound
	// LeaderCutInbound: what the leader is sent is held back for seconds.
	LeaderCutInbound
	// LostDisk: a control host loses its disk and is replaced under a new
	// identity.
	LostDisk
	// SecondLoss: another control host is lost right after such a repair.
	SecondLoss
	// LeaderAndCompanion: the leader and a companion are killed at once.
	LeaderAndCompanion

	faults = iota
)

// description returns a line about the fault.
func (f Fault) description() string {
	return [faults]string{
		EngineRestart:      "an engine restarts empty in mid-stream",
		CompanionKill:      "a companion is killed beside a living engine, and returns",
		CompanionStop:      "a companion stops as planned beside a living engine, and returns",
		BackendLeaves:      "an engine and a plain service leave as planned, and return later",
		LeaderKill:         "the control leader, an entry too, is killed, and returns",
		LeaderStop:         "the control leader, an entry too, stops as planned, and returns",
		EntryKill:          "an entry that does not lead is killed, and returns",
		EntryStop:          "an entry that does not lead stops as planned, and returns",
		SilentEntry:        "connections between entries and companions go silent for good",
		SilentEngine:       "connections between companions and backend servers go silent for good",
		SilentControl:      "connections between nodes and control hosts go silent for good",
		FailingLoads:       "every other load of an adapter fails",
		SlowStore:          "the weight store answers a second late",
		LeaderCut:          "the leader is silently cut off, both ways",
		LeaderCutOutbound:  "what the leader sends is held back",
		LeaderCutInbound:   "what the leader is sent is held back",
		LostDisk:           "a control host loses its disk and is replaced under a new identity",
		SecondLoss:         "another control host is lost right after such a repair",
		LeaderAndCompanion: "the leader and a companion are killed at once",
	}[f]
}

// FaultList returns a line for each fault.
func FaultList() string {
	var text strings.Builder
	for f := range Fault(faults) {
		text.WriteString(f.String() + ": " + f.description() + "\n")
	}
	return text.String()
}

// AllFaults returns all faults.
func AllFaults() []Fault {
	all := make([]Fault, 0, faults)
	for f := range Fault(faults) {
		all = append(all, f)
	}
	return all
}

// ShortFaults returns the faults of the short run.
func ShortFaults() []Fault {
	return []Fault{
		EngineRestart, CompanionKill, BackendLeaves, LeaderKill, EntryStop, SilentEntry, SilentEngine, FailingLoads, LeaderCut,
	}
}

// allName stands for all faults.
const allName = "All"

// ParseFaults returns the faults of a list of names, such as "EntryKill,EntryStop"
// or "All".
func ParseFaults(names string) ([]Fault, error) {
	if names == allName {
		return AllFaults(), nil
	}
	var found []Fault
	for name := range strings.SplitSeq(names, ",") {
		var f Fault
		if err := f.UnmarshalText([]byte(name)); err != nil {
			return nil, err
		}
		found = append(found, f)
	}
	return found, nil
}

// MarshalText writes the fault by its name.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads a fault by its name.
func (f *Fault) UnmarshalText(text []byte) error {
	for v := range Fault(faults) {
		if v.String() == string(text) {
			*f = v
			return nil
		}
	}
	return errors.NotValidf("fault %q", text)
}
