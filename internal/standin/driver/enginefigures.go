package driver

import (
	"net/http"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// EngineFigures are the figures of a run from the records of engines or the metrics of
// their companions.
type EngineFigures struct {
	Engines int
	// BatchFill is the mean fill of the batches over all steps that ran; nil if
	// none ran.
	BatchFill *float64
	Loads     int64
	// FailedLoads counts the load orders that were answered with an error.
	FailedLoads    int64
	Evictions      int64
	LoadsPerSecond float64
	// NeededAgain counts the evictions of adapters that any engine was ordered to load
	// again within NeededWithinSeconds.
	NeededAgain         int64
	NeededWithinSeconds float64
	// StaleOrders counts the executed orders with an outdated fencing number; nil if an
	// engine keeps no record.
	StaleOrders *int64
}

// engineFigures compares the observations at the start and the end of a run.
func engineFigures(before, after *Observation, within time.Duration) *EngineFigures {
	if len(after.Engines) == 0 {
		return nil
	}
	e := &EngineFigures{Engines: len(after.Engines), BatchFill: batchFill(before, after)}
	if records, _ := after.recordsSince(before); records != nil {
		e.NeededWithinSeconds = seconds(within)
		e.countOrders(records, within)
	} else {
		sum := after.countersSince(before)
		e.Loads, e.FailedLoads = int64(sum.Loads), int64(sum.FailedLoads)
		e.Evictions, e.NeededAgain = int64(sum.Evictions), int64(sum.NeededAgain)
		e.NeededWithinSeconds = defaultNeededWithin.Seconds()
	}
	if length := after.At.Sub(before.At).Seconds(); length > 0 {
		e.LoadsPerSecond = float64(e.Loads) / length
	}
	return e
}

// countOrders counts loads and evictions, and matches each eviction with the next load of
// the same adapter at any engine.
func (e *EngineFigures) countOrders(records []generator.Record, within time.Duration) {
	var orders []generator.Order
	e.StaleOrders = new(int64)
	for i := range records {
		orders = append(orders, records[i].Orders...)
		*e.StaleOrders += int64(records[i].StaleOrders)
	}
	slices.SortStableFunc(orders, func(a, b generator.Order) int { return a.At.Compare(b.At) })
	evicted := make(map[string][]time.Time)
	for i := range orders {
		o := &orders[i]
		switch {
		case o.Kind == generator.LoadOrder && o.Status == http.StatusOK:
			e.Loads++
			for _, at := range evicted[o.Subject] {
				if o.At.Sub(at) <= within {
					e.NeededAgain++
				}
			}
			delete(evicted, o.Subject)
		case o.Kind == generator.LoadOrder:
			e.FailedLoads++
		case o.Kind == generator.UnloadOrder && o.Status == http.StatusOK:
			e.Evictions++
			evicted[o.Subject] = append(evicted[o.Subject], o.At)
		}
	}
}

// addOrders adds the loads and unloads of the run to the series.
func (s *series) addOrders(start time.Time, records []generator.Record) {
	for i := range s.points {
		s.points[i].Loads, s.points[i].Unloads = new(int64), new(int64)
	}
	for i := range records {
		for _, o := range records[i].Orders {
			index := int(o.At.Sub(start) / s.interval)
			if index < 0 || index >= len(s.points) || o.Status != http.StatusOK {
				continue
			}
			switch o.Kind {
			case generator.LoadOrder:
				*s.points[index].Loads++
			case generator.UnloadOrder:
				*s.points[index].Unloads++
			default:
			}
		}
	}
}
