package explainer

import "strings"

//go:generate stringer -type=LoadCause -linecomment

// LoadCause tells why an adapter was loaded.
type LoadCause int

// The causes of loads.
const (
	// LoadFirst is the first of its version in the logs.
	LoadFirst LoadCause = iota // first
	// LoadCopy is one where another engine had loaded the version before.
	LoadCopy // copy
	// LoadAgain is one at an engine that had loaded the version before.
	LoadRepeated // again
	// LoadWarm is one out of the engine's own memory.
	LoadWarm // warm
)

// warmMillis is the time under which a load came out of the engine's own memory: ten
// times as fast as one from the weight store, which takes 250 ms or more.
const warmMillis = 100

// load is one load of an adapter.
type load struct {
	engine, adapter string
	ended           float64
	took            millis
	cause           LoadCause
}

// loads returns the loads of the log with their causes, in the order of their ends.
func (l *Log) loads() []load {
	var loads []load
	versions, at := make(map[string]bool), make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageLoaded {
			continue
		}
		version := line.version()
		_, adapter, _ := strings.Cut(version, "/")
		adapter, _, _ = strings.Cut(adapter, "@")
		d := load{engine: line.Backend, adapter: adapter, ended: line.At, took: line.Took}
		switch {
		case line.Took < warmMillis:
			d.cause = LoadWarm
		case at[line.Backend+" "+version]:
			d.cause = LoadRepeated
		case versions[version]:
			d.cause = LoadCopy
		}
		versions[version], at[line.Backend+" "+version] = true, true
		loads = append(loads, d)
	}
	return loads
}
