package explainer

import "strings"

//go:generate stringer -type=LoadCause -linecomment

// LoadCause is the reason for a load of an adapter.
type LoadCause int

// The causes of loads. Their texts are part of the report.
const (
	// LoadFirst is the first load of a version in the logs.
	LoadFirst LoadCause = iota // first
	// LoadCopy is the first load at an engine after another engine loaded the version.
	LoadCopy // copy
	// LoadRepeated is a load at an engine that loaded the version before.
	LoadRepeated // again
	// LoadWarm is a load from the engine's own memory.
	LoadWarm // warm
)

// maxWarmLoadMillis is the duration below which a load is assumed to come from the engine's
// own memory. Such a load is ten times as fast as one from the weight store, which takes
// 250 ms or more.
const maxWarmLoadMillis = 100

// load is one load of an adapter.
type load struct {
	engine, adapter string
	// ended is the time of its end, as Line.At.
	ended float64
	took  millis
	cause LoadCause
}

// loads returns the loads of the log with their causes, sorted by their end.
func (l *Log) loads() []load {
	var loads []load
	loadedVersions, loadedAt := make(map[string]bool), make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageAdapterLoaded {
			continue
		}
		version := line.version()
		_, adapter, _ := strings.Cut(version, "/")
		adapter, _, _ = strings.Cut(adapter, "@")
		d := load{engine: line.Backend, adapter: adapter, ended: line.At, took: line.Took}
		switch {
		case line.Took < maxWarmLoadMillis:
			d.cause = LoadWarm
		case loadedAt[line.Backend+" "+version]:
			d.cause = LoadRepeated
		case loadedVersions[version]:
			d.cause = LoadCopy
		}
		loadedVersions[version], loadedAt[line.Backend+" "+version] = true, true
		loads = append(loads, d)
	}
	return loads
}
