package separator

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// longShare is the share of the shortest limit of event gaps from which a prefill is long. A machine
// that is 2.5 times as slow as usual needs most of that limit for it.
const longShare = 0.3

// Limits are the limits by which the prompts of a service's calls are separated.
type Limits struct {
	// Gap is the shortest MaxEventGap of the service's streaming routes; 0 if there is none.
	Gap time.Duration
	// Long is the prefill time at the usual speed from which a prompt is long. It is 0, which
	// means that nothing is separated, if Gap is.
	Long time.Duration
}

// NewLimits returns the limits of a service.
func NewLimits(routing *tracker.Routing, service string) Limits {
	gap := time.Duration(0)
	for i := range routing.Routes {
		r := &routing.Routes[i]
		if r.Stream && r.MaxEventGap > 0 && (gap == 0 || r.MaxEventGap < gap) && leadsTo(r, service) {
			gap = r.MaxEventGap
		}
	}
	return Limits{Gap: gap, Long: time.Duration(longShare * float64(gap))}
}

func leadsTo(r *tracker.Route, service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// IsLong reports whether a prefill that takes the given time at the usual speed is long.
func (l Limits) IsLong(usual time.Duration) bool { return l.Long > 0 && usual >= l.Long }
