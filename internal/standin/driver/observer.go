package driver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// Observed is something behind the deployment whose own record a run reads: one of
// LocalEngine, RemoteEngine, LocalService and RemoteService.
type Observed interface{ observed() }

// LocalEngine is a stand-in engine in the same process.
type LocalEngine struct {
	Engine *generator.Engine
	// MaxBatch is the engine's own setting.
	MaxBatch int
}

// RemoteEngine is a stand-in engine that gives its record over HTTP.
type RemoteEngine struct {
	// Address is the IP and port.
	Address string
}

// LocalService is a stand-in plain service in the same process.
type LocalService struct {
	Service *responder.Service
}

// RemoteService is a stand-in plain service that gives its record over HTTP.
type RemoteService struct {
	// Address is the IP and port.
	Address string
}

func (LocalEngine) observed()   {}
func (RemoteEngine) observed()  {}
func (LocalService) observed()  {}
func (RemoteService) observed() {}

// maxRecordBytes bounds a record that is read over HTTP.
const maxRecordBytes = 512 << 20

// observer reads records. It is safe for concurrent use.
type observer struct {
	client *http.Client
}

// Observation is what the engines and services recorded up to one moment.
type Observation struct {
	// At is the moment, by the clock of the records.
	At       time.Time
	Engines  []EngineObservation
	Services []responder.Record
}

// EngineObservation is the record of one engine.
type EngineObservation struct {
	Record   generator.Record
	MaxBatch int
}

// observe reads everything observed. With countsOnly the records of remote engines
// come without their runs.
func (o *observer) observe(ctx context.Context, all []Observed, countsOnly bool) (Observation, error) {
	found := Observation{At: time.Now()}
	for _, one := range all {
		switch v := one.(type) {
		case LocalEngine:
			found.Engines = append(found.Engines, EngineObservation{Record: v.Engine.Record(), MaxBatch: v.MaxBatch})
		case RemoteEngine:
			e, err := o.remoteEngine(ctx, v, countsOnly)
			if err != nil {
				return found, errors.Annotatef(err, "record of engine %s", v.Address)
			}
			found.Engines = append(found.Engines, e)
		case LocalService:
			found.Services = append(found.Services, v.Service.Record())
		case RemoteService:
			var r responder.Record
			if err := o.get(ctx, v.Address, responder.PathRecord, &r); err != nil {
				return found, errors.Annotatef(err, "record of service %s", v.Address)
			}
			found.Services = append(found.Services, r)
		}
	}
	return found, nil
}

func (o *observer) remoteEngine(ctx context.Context, r RemoteEngine, countsOnly bool) (EngineObservation, error) {
	var e EngineObservation
	path := generator.PathRecord
	if countsOnly {
		path += "?" + orderer.QueryAfter + "=9223372036854775807"
	}
	if err := o.get(ctx, r.Address, path, &e.Record); err != nil {
		return e, err
	}
	var state orderer.EngineState
	if err := o.get(ctx, r.Address, orderer.PathState, &state); err != nil {
		return e, err
	}
	e.MaxBatch = state.MaxBatch
	return e, nil
}

func (o *observer) get(ctx context.Context, address, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := o.client.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(answer.Body, maxRecordBytes)).Decode(into))
}

// EngineFigures are what the engines' records tell of a run.
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
	StaleOrders         int64
}

// engineFigures compares the observations at the start and the end of a run.
func engineFigures(before, after *Observation, within time.Duration) *EngineFigures {
	if len(after.Engines) == 0 {
		return nil
	}
	f := &EngineFigures{Engines: len(after.Engines), NeededWithinSeconds: seconds(within)}
	f.BatchFill = batchFill(before, after)
	var orders []generator.Order
	for i := range after.Engines {
		from := 0
		if i < len(before.Engines) {
			from = len(before.Engines[i].Record.Orders)
			f.StaleOrders -= int64(before.Engines[i].Record.StaleOrders)
		}
		f.StaleOrders += int64(after.Engines[i].Record.StaleOrders)
		orders = append(orders, after.Engines[i].Record.Orders[from:]...)
	}
	f.countOrders(orders, within)
	if length := after.At.Sub(before.At).Seconds(); length > 0 {
		f.LoadsPerSecond = float64(f.Loads) / length
	}
	return f
}

// countOrders counts loads and evictions, and pairs each eviction with the next
// load of the same adapter at any engine.
func (e *EngineFigures) countOrders(orders []generator.Order, within time.Duration) {
	slices.SortStableFunc(orders, func(a, b generator.Order) int { return a.At.Compare(b.At) })
	evicted := make(map[string][]time.Time)
	for _, o := range orders {
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

// batchFill returns the mean fill of the batches between two observations, or nil
// where no step ran. A step counts by the engine's largest batch.
func batchFill(before, after *Observation) *float64 {
	var places, taken int64
	for i := range after.Engines {
		steps, sequences := after.Engines[i].Record.Steps, after.Engines[i].Record.SequenceSteps
		if i < len(before.Engines) {
			steps -= before.Engines[i].Record.Steps
			sequences -= before.Engines[i].Record.SequenceSteps
		}
		places += steps * int64(after.Engines[i].MaxBatch)
		taken += sequences
	}
	if places <= 0 {
		return nil
	}
	fill := float64(taken) / float64(places)
	return &fill
}

// addOrders counts the loads and unloads of the run in its time line.
func (s *series) addOrders(start time.Time, before, after *Observation) {
	for i := range s.points {
		s.points[i].Loads, s.points[i].Unloads = new(int64), new(int64)
	}
	for i := range after.Engines {
		from := 0
		if i < len(before.Engines) {
			from = len(before.Engines[i].Record.Orders)
		}
		for _, o := range after.Engines[i].Record.Orders[from:] {
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

// since returns the records of what came after an earlier observation of the same
// engines and services, nil where there are none.
func (o *Observation) since(before *Observation) ([]generator.Record, []responder.Record) {
	var engines []generator.Record
	for i := range o.Engines {
		r := o.Engines[i].Record
		if i < len(before.Engines) {
			r.Runs = r.Runs[len(before.Engines[i].Record.Runs):]
			r.Orders = r.Orders[len(before.Engines[i].Record.Orders):]
		}
		engines = append(engines, r)
	}
	var services []responder.Record
	for i := range o.Services {
		r := o.Services[i]
		if i < len(before.Services) {
			r.Runs = r.Runs[len(before.Services[i].Runs):]
		}
		services = append(services, r)
	}
	return engines, services
}
