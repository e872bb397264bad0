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

// Settings are the options of a Router. A field with the zero value takes its
// documented default.
type Settings struct {
	Policy Policy

	// Region and FailureDomain are the location of the entry.
	Region        string
	FailureDomain string

	// StallWeight is the cost of a second of expected stall; DefaultWeight by default.
	StallWeight float64
	// BatchWeight is the cost of a second of wasted engine time; DefaultWeight by
	// default.
	BatchWeight float64
	// TargetFill is the share of a batch up to which calls are packed;
	// DefaultTargetFill by default.
	TargetFill float64

	// Entries is the initial estimate of the number of entries sharing the callers, by
	// which the entry's own part of the demand for a version is multiplied; 1 by
	// default. It is replaced by an estimate from load reports.
	Entries int

	// LoadTime is the initial estimate of the stall of a cold start, and ServiceTime
	// that of a call's duration. Both are replaced by measurements from answers.
	LoadTime    time.Duration
	ServiceTime time.Duration
	// PrefillRate is the rate at which an engine computes prompts, in tokens per
	// second. A cached prefix saves that time.
	PrefillRate float64

	// ReportHalfLife is the age at which half of a load report's difference from the
	// pool's average is taken into account.
	ReportHalfLife time.Duration
	// DemandHalfLife is the half-life of the measured demand of a version.
	DemandHalfLife time.Duration
	// ShrinkAfter is how long a version keeps its homes after demand last required
	// them.
	ShrinkAfter time.Duration
	// ResidencyHalfLife is the half-life of the certainty that a version is resident
	// where it last answered.
	ResidencyHalfLife time.Duration
	// SuspectFor is how long a backend server is avoided on the entry's own evidence.
	SuspectFor time.Duration

	// MaxVersions bounds the number of versions kept; idle ones are evicted first.
	MaxVersions int

	// Seed is the seed of the random choices.
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
