package attendant

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// recordReportedLimit applies what a report that was requested at sentAt says about the
// engine's limit, and logs a change. An engine may name its limit in answers to requests
// alone: its reports end a limit only if they name limits. The caller holds mu.
func (a *Attendant) recordReportedLimit(sentAt, now time.Time, n regulator.Notice) {
	a.limitReported = a.limitReported || n.Kind == regulator.NoticeLimited
	if !a.limitReported {
		return
	}
	if a.limit.Record(sentAt, now, n) {
		a.settings.Log.Info().Str("Incarnation", a.incarnation).Bool("Limited", a.limit.Named).Float64("Rate", a.limit.Rate).Msg("request limit changed")
	}
}
