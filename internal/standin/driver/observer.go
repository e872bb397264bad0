package driver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// Observed is an engine or service behind the deployment whose records or metrics a run
// reads: one of LocalEngine, RemoteEngine, RemoteCompanion, LocalService and RemoteService.
type Observed interface{ observed() }

// LocalEngine is a stand-in engine in the same process.
type LocalEngine struct {
	Engine *generator.Engine
	// MaxBatch is the maximum batch size of the engine.
	MaxBatch int
}

// RemoteEngine is a stand-in engine that serves its record over HTTP.
type RemoteEngine struct {
	// Address is the IP and port.
	Address string
}

// RemoteCompanion is the companion of an engine that keeps no record. Its metrics contain
// batch fill, loads and evictions, but not which requests ran.
type RemoteCompanion struct {
	// Operator is the IP and port of the operator listener.
	Operator string
}

// LocalService is a stand-in plain service in the same process.
type LocalService struct {
	Service *responder.Service
}

// RemoteService is a stand-in plain service that serves its record over HTTP.
type RemoteService struct {
	// Address is the IP and port.
	Address string
}

func (LocalEngine) observed()     {}
func (RemoteEngine) observed()    {}
func (RemoteCompanion) observed() {}
func (LocalService) observed()    {}
func (RemoteService) observed()   {}

const (
	// maxRecordBytes limits a record that is read over HTTP.
	maxRecordBytes = 512 << 20
	pathMetrics    = "/metrics"
)

// observer reads records and metrics. It is safe for concurrent use.
type observer struct {
	client *http.Client
}

// Observation holds the records of the engines and services up to one time.
type Observation struct {
	// At is the time of the observation, on the clock of the records.
	At       time.Time
	Engines  []EngineObservation
	Services []responder.Record
}

// EngineObservation is the observation of one engine.
type EngineObservation struct {
	// Record is nil if only counters can be read. The counters of loads and evictions are
	// then used instead.
	Record   *generator.Record
	Counters Counters
}

// Counters are cumulative counts of an engine or its companion.
type Counters struct {
	// BatchCapacity is the sum of the batch sizes over the steps that ran; from a
	// companion it is the number of samples of the batch fill. BatchUsed is the part of
	// it that was in use.
	BatchCapacity float64
	BatchUsed     float64
	// Loads, FailedLoads, Evictions and NeededAgain are counted by a companion only.
	// NeededAgain are evictions of adapters that were loaded again within a minute.
	Loads       float64
	FailedLoads float64
	Evictions   float64
	NeededAgain float64
}

// newEngineObservation returns the observation of an engine that keeps a record.
func newEngineObservation(r *generator.Record, maxBatch int) EngineObservation {
	return EngineObservation{Record: r, Counters: Counters{
		BatchCapacity: float64(r.Steps) * float64(maxBatch),
		BatchUsed:     float64(r.SequenceSteps),
	}}
}

// observe reads all sources. With countsOnly the records of remote engines are read without
// their runs.
func (o *observer) observe(ctx context.Context, all []Observed, countsOnly bool) (Observation, error) {
	found := Observation{At: time.Now()}
	for _, one := range all {
		switch v := one.(type) {
		case LocalEngine:
			r := v.Engine.Record()
			found.Engines = append(found.Engines, newEngineObservation(&r, v.MaxBatch))
		case RemoteEngine:
			e, err := o.remoteEngine(ctx, v, countsOnly)
			if err != nil {
				return found, errors.Annotatef(err, "record of engine %s", v.Address)
			}
			found.Engines = append(found.Engines, e)
		case RemoteCompanion:
			c, err := o.companion(ctx, v)
			if err != nil {
				return found, errors.Annotatef(err, "metrics of companion %s", v.Operator)
			}
			found.Engines = append(found.Engines, EngineObservation{Counters: c})
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
	var record generator.Record
	path := generator.PathRecord
	if countsOnly {
		path += "?" + orderer.QueryAfter + "=9223372036854775807"
	}
	if err := o.get(ctx, r.Address, path, &record); err != nil {
		return EngineObservation{}, err
	}
	var state orderer.EngineState
	if err := o.get(ctx, r.Address, orderer.PathState, &state); err != nil {
		return EngineObservation{}, err
	}
	return newEngineObservation(&record, state.MaxBatch), nil
}

// companion reads the counters from the metrics of a companion.
func (o *observer) companion(ctx context.Context, r RemoteCompanion) (Counters, error) {
	answer, err := o.fetch(ctx, r.Operator, pathMetrics)
	if err != nil {
		return Counters{}, err
	}
	defer answer.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(answer.Body, maxRecordBytes))
	if err != nil {
		return Counters{}, errors.Trace(err)
	}
	if families["marigoldpoint_batch_fill_ratio"] == nil {
		return Counters{}, errors.NotFoundf("metrics of a companion")
	}
	var c Counters
	for _, m := range families["marigoldpoint_batch_fill_ratio"].GetMetric() {
		c.BatchCapacity += float64(m.GetHistogram().GetSampleCount())
		c.BatchUsed += m.GetHistogram().GetSampleSum()
	}
	c.Loads = sumCounter(families["marigoldpoint_slot_loads_total"])
	c.FailedLoads = sumCounter(families["marigoldpoint_slot_load_failures_total"])
	c.Evictions = sumCounter(families["marigoldpoint_slot_evictions_total"])
	c.NeededAgain = sumCounter(families["marigoldpoint_slot_evictions_regretted_total"])
	return c, nil
}

// sumCounter returns the sum of a counter over all companions of a process.
func sumCounter(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

func (o *observer) get(ctx context.Context, address, path string, into any) error {
	answer, err := o.fetch(ctx, address, path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return errors.Trace(json.NewDecoder(io.LimitReader(answer.Body, maxRecordBytes)).Decode(into))
}

// fetch returns an answer with status 200, whose body the caller must close. Another status
// is an error.
func (o *observer) fetch(ctx context.Context, address, path string) (*http.Response, error) {
	r, err := newRequest(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	answer, err := o.client.Do(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, errors.Errorf("status %d", answer.StatusCode)
	}
	return answer, nil
}

// recordsSince returns the records made after an earlier observation of the same engines
// and services. The records of engines are nil if one engine keeps none: a check on a part
// of the engines proves nothing.
func (o *Observation) recordsSince(before *Observation) ([]generator.Record, []responder.Record) {
	var engines []generator.Record
	for i := range o.Engines {
		if o.Engines[i].Record == nil {
			engines = nil
			break
		}
		r := *o.Engines[i].Record
		if i < len(before.Engines) && before.Engines[i].Record != nil {
			r.Runs = r.Runs[len(before.Engines[i].Record.Runs):]
			r.Orders = r.Orders[len(before.Engines[i].Record.Orders):]
			r.StaleOrders -= before.Engines[i].Record.StaleOrders
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

// countersSince returns the increase of the counters, summed over all engines, since an
// earlier observation.
func (o *Observation) countersSince(before *Observation) Counters {
	var sum Counters
	add := func(c *Counters, sign float64) {
		sum.BatchCapacity += sign * c.BatchCapacity
		sum.BatchUsed += sign * c.BatchUsed
		sum.Loads += sign * c.Loads
		sum.FailedLoads += sign * c.FailedLoads
		sum.Evictions += sign * c.Evictions
		sum.NeededAgain += sign * c.NeededAgain
	}
	for i := range o.Engines {
		add(&o.Engines[i].Counters, 1)
		if i < len(before.Engines) {
			add(&before.Engines[i].Counters, -1)
		}
	}
	return sum
}

// batchFill returns the mean fill of the batches between two observations, or nil if no
// step ran.
func batchFill(before, after *Observation) *float64 {
	sum := after.countersSince(before)
	if sum.BatchCapacity <= 0 {
		return nil
	}
	fill := sum.BatchUsed / sum.BatchCapacity
	return &fill
}
