package driver

import (
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// Settings are the settings of a Driver. A zero field has the default that its comment
// states.
type Settings struct {
	Workload Workload
	Schedule ScheduleSettings
	// Entries are the deployment's entries; at least one.
	Entries []Entry
	Balance Balance
	// Keys are the callers' keys, one for each workspace.
	Keys []WorkspaceKey
	// Observed are the engines and plain services whose records can be read. They
	// must contain all engines or none, and all services or none.
	Observed []Observed
	// AllowRemote allows addresses outside the loopback.
	AllowRemote bool
	// SkipTextCheck disables the comparison of the text of answers, for engines other
	// than the stand-ins.
	SkipTextCheck bool
	// MaxInFlight limits the calls in progress; 4096 by default. A call that waits for
	// this limit is sent late, and its latency includes the wait.
	MaxInFlight int
	// WarmUp is the time at the start of the schedule's duration that is excluded from
	// the measurement; 0 by default. Engines that start empty fill their slots in it,
	// which takes longer than any later phase.
	WarmUp time.Duration
	// Interval is the length of a point in the series; 1 s by default.
	Interval time.Duration
	// NeededWithin is the time within which an evicted adapter that is loaded again
	// counts as needed again; by default 1 min, scaled by TimeScale.
	NeededWithin time.Duration
	// Label is copied to the report.
	Label string
	// Progress, if set, is called once per second.
	Progress func(Progress)
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed  time.Duration
	Duration time.Duration
	Sent     int64
	Ended    EndingCounts
	Broken   int64
}

const (
	defaultMaxInFlight  = 4096
	defaultInterval     = time.Second
	defaultNeededWithin = time.Minute
)

func (s Settings) withDefaults() Settings {
	s.Schedule = s.Schedule.withDefaults()
	if s.Schedule.Run == "" {
		s.Schedule.Run = rand.Text()
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.NeededWithin == 0 {
		s.NeededWithin = time.Duration(float64(defaultNeededWithin) * s.Schedule.TimeScale)
	}
	return s
}

func (s *Settings) validate() error {
	if err := s.Workload.Validate(); err != nil {
		return errors.Trace(err)
	}
	switch {
	case len(s.Entries) == 0:
		return errors.NotValidf("run without entries")
	case s.Schedule.Duration <= 0:
		return errors.NotValidf("duration %v", s.Schedule.Duration)
	case s.WarmUp < 0 || s.WarmUp >= s.Schedule.Duration:
		return errors.NotValidf("warm-up %v in a run of %v", s.WarmUp, s.Schedule.Duration)
	case s.Schedule.TimeScale < 0 || s.Schedule.RateScale < 0:
		return errors.NotValidf("negative scale")
	case s.AllowRemote:
		return nil
	}
	return CheckLoopback(s.addresses()...)
}

// addresses returns all addresses that a run connects to.
func (s *Settings) addresses() []string {
	var all []string
	for _, e := range s.Entries {
		all = append(all, e.Address)
		if e.Operator != "" {
			all = append(all, e.Operator)
		}
	}
	for _, o := range s.Observed {
		switch v := o.(type) {
		case RemoteEngine:
			all = append(all, v.Address)
		case RemoteCompanion:
			all = append(all, v.Operator)
		case RemoteService:
			all = append(all, v.Address)
		}
	}
	return all
}

// CheckLoopback returns an error for the first address that is not an IP:port on the
// loopback. It guards against sending load to the wrong deployment by mistake.
func CheckLoopback(addresses ...string) error {
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a)
		if err != nil {
			return errors.NewNotValid(err, "address "+a)
		}
		if !parsed.Addr().IsLoopback() {
			return errors.NotValidf("address %s, which is not on the loopback,", a)
		}
	}
	return nil
}

// bearers returns the value of the Authorization header of each workspace, or a NotFound
// error if a workspace has no key.
func bearers(w *Workload, keys []WorkspaceKey) ([]string, error) {
	found := make([]string, len(w.Workspaces))
	for _, k := range keys {
		for i := range w.Workspaces {
			if w.Workspaces[i].Name == k.Workspace {
				found[i] = "Bearer " + k.Key
			}
		}
	}
	for i := range found {
		if found[i] == "" {
			return nil, errors.NotFoundf("bearer key of workspace %q", w.Workspaces[i].Name)
		}
	}
	return found, nil
}
