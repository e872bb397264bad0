package demonstrator

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Fault,FaultPromise -output=faults_string.go

// Fault is a fault injected into a deployment under load.
type Fault int

// The faults, in the order in which AllFaults runs them.
const (
	// EngineRestart: an engine restarts without resident adapters while it serves
	// streams.
	EngineRestart Fault = iota
	// CompanionKill: a companion is killed while its engine runs, and restarts.
	CompanionKill
	// CompanionStop: a companion performs a planned stop while its engine runs, and
	// restarts.
	CompanionStop
	// BackendLeaves: an engine and a plain service leave, and join again later.
	BackendLeaves
	// LeaderKill: the host of the control leader is killed, and restarts.
	LeaderKill
	// LeaderStop: the host of the control leader performs a planned stop, and
	// restarts.
	LeaderStop
	// EntryKill: an entry that is not the control leader is killed, and restarts.
	EntryKill
	// EntryStop: an entry that is not the control leader performs a planned stop,
	// and restarts.
	EntryStop
	// SilentEntry: the open connections between entries and companions are
	// blackholed, while new ones work.
	SilentEntry
	// SilentEngine: the same for connections between companions and backend servers.
	SilentEngine
	// SilentControl: the same for connections from nodes to control hosts.
	SilentControl
	// FailingLoads: each load of an adapter fails with the probability
	// loadFailureShare.
	FailingLoads
	// SlowStore: the weight store answers with a delay.
	SlowStore
	// LeaderCut: the leader's traffic is held back for cutTime in both directions.
	LeaderCut
	// LeaderCutOutbound: what the leader sends is held back for cutTime.
	LeaderCutOutbound
	// LeaderCutInbound: what others send to the leader is held back for cutTime.
	LeaderCutInbound
	// LostDisk: a control host loses its disk and is replaced under a new identity.
	LostDisk
	// SecondLoss: another control host is killed right after such a replacement.
	SecondLoss
	// LeaderAndCompanion: the leader and a companion are killed at once.
	LeaderAndCompanion
	// CutAnswers: plain services cut their answers, in several ways in turn.
	CutAnswers

	faults = iota
)

// description returns a one-line description of the fault.
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
		CutAnswers:         "plain services cut their answers, and send them without framing",
	}[f]
}

// FaultList returns the names and descriptions of all faults, one per line.
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

// ShortFaults returns the faults that are run unless others are named.
func ShortFaults() []Fault {
	return []Fault{
		EngineRestart, CompanionKill, BackendLeaves, LeaderKill, EntryStop, SilentEntry, SilentEngine, FailingLoads, LeaderCut,
	}
}

// allName is the name that ParseFaults takes for all faults.
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

// MarshalText returns the name of the fault.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText sets the fault from its name.
func (f *Fault) UnmarshalText(text []byte) error {
	for v := range Fault(faults) {
		if v.String() == string(text) {
			*f = v
			return nil
		}
	}
	return errors.NotValidf("fault %q", text)
}
