package router

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	DefaultWeight            = 1.0
	DefaultTargetFill        = 0.8
	DefaultLoadTime          = time.Second
	DefaultServiceTime       = time.Second
	DefaultPrefillRate       = 5000.0
	DefaultReportHalfLife    = time.Second
	DefaultDemandHalfLife    = 15 * time.Second
	DefaultShrinkAfter       = time.Minute
	DefaultResidencyHalfLife = time.Minute
	DefaultSuspectFor        = 2 * time.Second
	DefaultMaxVersions       = 32768
	DefaultMaxBatch          = 16
)

// Settings are a router's options. The zero value of a field means its
// documented default.
type Settings struct {
	Policy Policy

	// Region and FailureDomain are where the entry stands.
	Region        string
	FailureDomain string

	// StallWeight is what a second of expected stall costs; DefaultWeight by
	// default.
	StallWeight float64
	// BatchWeight is what a second of wasted engine time costs; DefaultWeight
	// by default.
	BatchWeight float64
	// TargetFill is the share of a batch up to which calls are packed;
	// DefaultTargetFill by default.
	TargetFill float64

	// Entries is the first guess of the number of entries that share the callers,
	// by which the entry's own part of the demand for a version is multiplied; 1
	// by default. Load reports replace it.
	Entries int

	// LoadTime is the first guess of the stall of a cold start, ServiceTime of
	// the time that a call runs. Both are replaced by what answers report.
	LoadTime    time.Duration
	ServiceTime time.Duration
	// PrefillRate is the number of prompt tokens that an engine computes in a
	// second; a cached prefix saves that time.
	PrefillRate float64

	// ReportHalfLife is the age at which half of a load report's difference
	// from the pool's average is believed.
	ReportHalfLife time.Duration
	// DemandHalfLife is the half-life of the measured demand of a version.
	DemandHalfLife time.Duration
	// ShrinkAfter is the time for which a version keeps its homes after demand
	// last called for them.
	ShrinkAfter time.Duration
	// ResidencyHalfLife is the age at which half of an answer's evidence that
	// its version is resident is believed.
	ResidencyHalfLife time.Duration
	// SuspectFor is the time for which a backend server is avoided on the
	// entry's own evidence.
	SuspectFor time.Duration

	// MaxVersions bounds the versions kept; the idle ones go first.
	MaxVersions int

	// Seed seeds the random draws.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	s.StallWeight = cmp.Or(s.StallWeight, DefaultWeight)
	s.BatchWeight = cmp.Or(s.BatchWeight, DefaultWeight)
	s.TargetFill = cmp.Or(s.TargetFill, DefaultTargetFill)
	s.Entries = max(s.Entries, 1)
	s.LoadTime = cmp.Or(s.LoadTime, DefaultLoadTime)
	s.ServiceTime = cmp.Or(s.ServiceTime, DefaultServiceTime)
	s.PrefillRate = cmp.Or(s.PrefillRate, DefaultPrefillRate)
	s.ReportHalfLife = cmp.Or(s.ReportHalfLife, DefaultReportHalfLife)
	s.DemandHalfLife = cmp.Or(s.DemandHalfLife, DefaultDemandHalfLife)
	s.ShrinkAfter = cmp.Or(s.ShrinkAfter, DefaultShrinkAfter)
	s.ResidencyHalfLife = cmp.Or(s.ResidencyHalfLife, DefaultResidencyHalfLife)
	s.SuspectFor = cmp.Or(s.SuspectFor, DefaultSuspectFor)
	s.MaxVersions = cmp.Or(s.MaxVersions, DefaultMaxVersions)
	return s
}
