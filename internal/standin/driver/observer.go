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

// Observed is something behind the deployment whose own record a run reads: one of
// LocalEngine, RemoteEngine, RemoteCompanion, LocalService and RemoteService.
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

// RemoteCompanion is the companion of an engine that keeps no record. Its metrics
// tell of batch fill, loads and evictions; what ran where stays unknown.
type RemoteCompanion struct {
	// Operator is the IP and port of the operators' listener.
	Operator string
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

func (LocalEngine) observed()     {}
func (RemoteEngine) observed()    {}
func (RemoteCompanion) observed() {}
func (LocalService) observed()    {}
func (RemoteService) observed()   {}

const (
	// maxRecordBytes bounds a record that is read over HTTP.
	maxRecordBytes = 512 << 20
	pathMetrics    = "/metrics"
)

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

// EngineObservation is what is known of one engine.
type EngineObservation struct {
	// Record is nil where only counters can be read. Counters of loads are then
	// used in its place.
	Record   *generator.Record
	Counters Counters
}

// Counters are what an engine or its companion counted.
type Counters struct {
	// BatchCapacity counts the places of the batch over the steps that ran, or over the
	// samples of a companion; BatchUsed counts those taken.
	BatchCapacity float64
	BatchUsed     float64
	// Loads, FailedLoads, Evictions and NeededAgain are a companion's. It counts an
	// eviction as needed again within a minute.
	Loads       float64
	FailedLoads float64
	Evictions   float64
	NeededAgain float64
}

// recorded returns the observation of an engine that keeps a record.
func recorded(r *generator.Record, maxBatch int) EngineObservation {
	return EngineObservation{Record: r, Counters: Counters{
		BatchCapacity: float64(r.Steps) * float64(maxBatch),
		BatchUsed:     float64(r.SequenceSteps),
	}}
}

// observe reads everything observed. With countsOnly the records of remote engines
// come without their runs.
func (o *observer) observe(ctx context.Context, all []Observed, countsOnly bool) (Observation, error) {
	found := Observation{At: time.Now()}
	for _, one := range all {
		switch v := one.(type) {
		case LocalEngine:
			r := v.Engine.Record()
			found.Engines = append(found.Engines, recorded(&r, v.MaxBatch))
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
	return recorded(&record, state.MaxBatch), nil
}

// companion reads the metrics of a companion.
func (o *observer) companion(ctx context.Context, r RemoteCompanion) (Counters, error) {
	answer, err := o.ask(ctx, r.Operator, pathMetrics)
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
	c.Loads = counter(families["marigoldpoint_slot_loads_total"])
	c.FailedLoads = counter(families["marigoldpoint_slot_load_failures_total"])
	c.Evictions = counter(families["marigoldpoint_slot_evictions_total"])
	c.NeededAgain = counter(families["marigoldpoint_slot_evictions_regretted_total"])
	return c, nil
}

// counter sums a counter over all companions of a process.
func counter(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

func (o *observer) get(ctx context.Context, address, path string, into any) error {
	answer, err := o.ask(ctx, address, path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return errors.Trace(json.NewDecoder(io.LimitReader(answer.Body, maxRecordBytes)).Decode(into))
}

// ask returns an answer of status 200, whose body must be closed.
func (o *observer) ask(ctx context.Context, address, path string) (*http.Response, error) {
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

// since returns the records of what came after an earlier observation of the same
// engines and services. Engines of which one keeps no record give nil: a check
// that doesn't see all of them proves nothing.
func (o *Observation) since(before *Observation) ([]generator.Record, []responder.Record) {
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

// counted returns the sums of the counters since an earlier observation.
func (o *Observation) counted(before *Observation) Counters {
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

// batchFill returns the mean fill of the batches between two observations, or nil
// where no step ran.
func batchFill(before, after *Observation) *float64 {
	sum := after.counted(before)
	if sum.BatchCapacity <= 0 {
		return nil
	}
	fill := sum.BatchUsed / sum.BatchCapacity
	return &fill
}
