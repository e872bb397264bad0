package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
)

// standinCommand groups the stand-ins for what the system serves.
type standinCommand struct {
	Engine  *standinEngineCommand  `arg:"subcommand:engine" help:"run a stand-in model engine"`
	Service *standinServiceCommand `arg:"subcommand:service" help:"run a stand-in plain service"`
	Store   *standinStoreCommand   `arg:"subcommand:store" help:"run a stand-in weight store"`
}

// standinEngineCommand runs a model engine's stand-in.
type standinEngineCommand struct {
	Listen        string  `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	BaseModel     string  `arg:"--base-model" default:"base" help:"name of the base model"`
	Slots         int     `default:"4" help:"adapter slots"`
	MaxBatch      int     `arg:"--max-batch" default:"16" help:"sequences that run at once"`
	WeightStore   string  `arg:"--weight-store" placeholder:"URL" help:"base URL of the weight store; none means loads without a fetch"`
	ChecksFencing bool    `arg:"--checks-fencing" help:"refuse orders with an old fencing number"`
	TimeScale     float64 `arg:"--time-scale" default:"1" help:"factor on the times of work"`
	Seed          uint64  `default:"1" help:"seed of losses and failures"`
}

func (c *standinEngineCommand) run(ctx context.Context, out io.Writer) error {
	engine := generator.NewEngine(generator.Settings{
		BaseModel:     c.BaseModel,
		Slots:         c.Slots,
		MaxBatch:      c.MaxBatch,
		WeightStore:   c.WeightStore,
		ChecksFencing: c.ChecksFencing,
		TimeScale:     c.TimeScale,
		Seed:          c.Seed,
	})
	return serveStandin(ctx, out, "engine", c.Listen, engine)
}

// standinServiceCommand runs a plain service's stand-in.
type standinServiceCommand struct {
	Listen string        `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	Delay  time.Duration `help:"time that each call takes"`
}

func (c *standinServiceCommand) run(ctx context.Context, out io.Writer) error {
	service := responder.NewService(responder.Settings{Faults: responder.Faults{Delay: c.Delay}})
	return serveStandin(ctx, out, "service", c.Listen, service)
}

// standinStoreCommand runs a weight store's stand-in.
type standinStoreCommand struct {
	Listen string        `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	Rate   int           `default:"4" help:"loads that may start in a second"`
	Time   time.Duration `default:"250ms" help:"time of one load alone at full speed"`
}

func (c *standinStoreCommand) run(ctx context.Context, out io.Writer) error {
	store := weigher.NewStore(weigher.Settings{Rate: c.Rate, FullSpeedTime: c.Time})
	return serveStandin(ctx, out, "store", c.Listen, store)
}

// standin is a stand-in that can be served on an address.
type standin interface {
	Listen(address string) (string, error)
	Close() error
}

func serveStandin(ctx context.Context, out io.Writer, name, address string, s standin) error {
	bound, err := s.Listen(address)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "stand-in %s on %s\n", name, bound)
	<-ctx.Done()
	return errors.Trace(s.Close())
}
