package driver

import "time"

// EnginePrompt returns the prompt that the engine computes for the call.
func EnginePrompt(c *Call) string { return c.enginePrompt() }

// ReportOf returns the report of a run that gave the answers and the observations.
func ReportOf(s Settings, calls []Call, answers []Answer, before, after Observation, fills []float64) *Report {
	s = s.withDefaults()
	c := newCollector(&s)
	for i := range calls {
		c.add(&result{call: calls[i], answer: answers[i]})
	}
	for i := range fills {
		c.addSample(&sample{at: time.Duration(i) * s.Interval, fill: &fills[i]})
	}
	return c.report(&records{before: before, warm: before, after: after, start: before.At}, s.Schedule.Duration, false)
}
