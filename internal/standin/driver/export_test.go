package driver

import "time"

// EnginePrompt returns the prompt that the engine processes for the call.
func EnginePrompt(c *Call) string { return c.enginePrompt() }

// ReportOf returns the report of a run with the given answers, observations and batch
// fills, one fill per interval.
func ReportOf(s Settings, calls []Call, answers []Answer, before, after Observation, fills []float64) *Report {
	s = s.withDefaults()
	c := newCollector(&s)
	for i := range calls {
		c.add(&result{call: calls[i], answer: answers[i]})
	}
	for i := range fills {
		c.addSample(&sample{at: time.Duration(i) * s.Interval, fill: &fills[i]})
	}
	return c.report(&observations{before: before, warm: before, after: after, start: before.At}, s.Schedule.Duration, false)
}
