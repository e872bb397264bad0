package driver

import (
	"net/http"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// EngineFigures are what engines or their companions tell of a run.
type EngineFigures struct {
	Engines int
	// BatchFill is the mean fill of the batches over all steps that ran; nil if
	// none ran.
	BatchFill *float64
	Loads     int64
	// FailedLoads counts the load orders that were refused or failed at once.
	FailedLoads    int64
	Evictions      int64
	LoadsPerSecond float64
	// NeededAgain counts the evictions of an adapter that some engine was ordered
	// to load again within NeededWithinSeconds.
	NeededAgain         int64
	NeededWithinSeconds float64
	// StaleOrders counts the obeyed orders with an old fencing number; nil where
	// an engine keeps no record.
	StaleOrders *int64
}

// engineFigures compares the observations at the start and the end of a run.
func engineFigures(before, after *Observation, within time.Duration) *EngineFigures {
	if len(after.Engines) == 0 {
		return nil
	}
	e := &EngineFigures{Engines: len(after.Engines), BatchFill: batchFill(before, after)}
	if records, _ := after.since(before); records != nil {
		e.NeededWithinSeconds = seconds(within)
		e.countOrders(records, within)
	} else {
		sum := after.counted(before)
		e.Loads, e.FailedLoads = int64(sum.Loads), int64(sum.FailedLoads)
		e.Evictions, e.NeededAgain = int64(sum.Evictions), int64(sum.NeededAgain)
		e.NeededWithinSeconds = neededWithin.Seconds()
	}
	if length := after.At.Sub(before.At).Seconds(); length > 0 {
		e.LoadsPerSecond = float64(e.Loads) / length
	}
	return e
}

// countOrders counts loads and evictions, and pairs each eviction with the next
// load of the same adapter at any engine.
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

// addOrders counts the loads and unloads of the run in its time line.
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
