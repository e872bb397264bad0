package relayer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
)

// Explain returns where a call that arrives now would go at its first attempt, and why. It
// sends nothing and changes no state. Keys, quotas, quarantines and the budget of retries are
// not considered.
func (r *Relayer) Explain(call Call) inspector.RouteAnswer {
	v := r.settings.View()
	a := inspector.RouteAnswer{
		Node: r.settings.Node, Host: call.Host, Path: call.Path, Revision: v.Revision, StateAgeMillis: -1, ConfirmedAgeMillis: -1,
	}
	if control := r.settings.Control; control != nil {
		if age, ok := control.Age(); ok {
			a.StateAgeMillis = millis(age)
		}
		if age, ok := control.ConfirmedAge(); ok {
			a.ConfirmedAgeMillis = millis(age)
		}
	}
	routing := v.Routing
	if routing == nil || !r.isTrusted() {
		a.Refusal = reasonNoRouting
		return a
	}
	a.Configuration = routing.Number
	j := &job{relayer: r, call: call, arrived: r.settings.Now()}
	if j.route = routing.Match(call.Host, call.Path); j.route == nil {
		a.Refusal = reasonNoRoute
		return a
	}
	a.Route = j.route.Name
	j.setDeadline()
	for _, share := range j.route.Shares {
		if share.Weight <= 0 {
			continue
		}
		j.service = routing.Service(share.Service)
		e := r.settings.Placer.Explain(j.arrived, j.placerCall())
		a.Services = append(a.Services, newRouteService(share.Weight, &e))
	}
	return a
}

func newRouteService(weight int, e *placer.Explanation) inspector.RouteService {
	s := inspector.RouteService{Name: e.Service, Weight: weight, Engines: e.Engines, Choice: e.Choice, Ties: e.Ties}
	if e.Err != nil {
		s.Refusal = e.Err.Error()
	}
	for i := range e.Candidates {
		s.Candidates = append(s.Candidates, newRouteServer(&e.Candidates[i]))
	}
	for i := range e.Excluded {
		s.Excluded = append(s.Excluded, newRouteServer(&e.Excluded[i]))
	}
	return s
}

func newRouteServer(c *placer.Candidate) inspector.RouteServer {
	s := inspector.RouteServer{
		Name: c.Name, Address: c.Address, Software: c.Software, FailureDomain: c.FailureDomain,
		Known: c.Known, ReportAgeMillis: -1, CostMillis: millis(c.Terms.Cost()),
	}
	if c.Age >= 0 {
		s.ReportAgeMillis = millis(c.Age)
	}
	for _, t := range c.Terms.Named() {
		s.Terms = append(s.Terms, inspector.RouteTerm{Name: t.Name, Millis: millis(t.Time)})
	}
	if c.Exclusion != placer.ExclusionNone {
		s.Exclusion, s.RemainingMillis = c.Exclusion.String(), millis(c.Remaining)
	}
	return s
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
