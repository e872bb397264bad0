package main

import (
	"context"
	"crypto/rand"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/announcer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// standinCommand groups the stand-ins for backend servers and the weight store.
type standinCommand struct {
	Engine  *standinEngineCommand  `arg:"subcommand:engine" help:"run a stand-in model engine"`
	Service *standinServiceCommand `arg:"subcommand:service" help:"run a stand-in plain service"`
	Store   *standinStoreCommand   `arg:"subcommand:store" help:"run a stand-in weight store"`
}

// standinEngineCommand runs a stand-in model engine.
type standinEngineCommand struct {
	Listen        string  `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	BaseModel     string  `arg:"--base-model" default:"base" help:"name of the base model"`
	Slots         int     `default:"4" help:"adapter slots"`
	MaxBatch      int     `arg:"--max-batch" default:"16" help:"sequences that run at once"`
	WeightStore   string  `arg:"--weight-store" placeholder:"URL" help:"base URL of the weight store; none means loads without a fetch"`
	ChecksFencing bool    `arg:"--checks-fencing" help:"refuse orders with an old fencing number"`
	Announce      string  `placeholder:"IP:PORT" help:"operators' listener of the companion to announce itself to"`
	KeyFile       string  `arg:"--key-file" placeholder:"FILE" help:"file with the operators' bearer key, for --announce"`
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
	return serveStandin(ctx, out, "engine", c.Listen, engine, announceSettings{
		companion: c.Announce, keyFile: c.KeyFile,
		describe: func(ctx context.Context, bound string) (announcer.Announcement, error) {
			// The state of the engine is read for each announcement, since a simulated
			// restart changes its incarnation.
			client := orderer.NewEngine(orderer.Settings{Address: bound})
			defer client.Close()
			s, err := client.State(ctx)
			return announcer.Announcement{
				Address: bound, BaseModel: s.BaseModel, Slots: s.Slots, MaxBatch: s.MaxBatch,
				ChecksFencing: s.ChecksFencing, Incarnation: s.Incarnation,
			}, errors.Annotate(err, "reading the engine's state")
		},
	})
}

// standinServiceCommand runs a stand-in plain service.
type standinServiceCommand struct {
	Listen   string        `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	Delay    time.Duration `help:"time that each call takes"`
	Announce string        `placeholder:"IP:PORT" help:"operators' listener of the companion to announce itself to; needs --name"`
	KeyFile  string        `arg:"--key-file" placeholder:"FILE" help:"file with the operators' bearer key, for --announce"`
	Name     string        `help:"name under which operators declared the service"`
}

func (c *standinServiceCommand) run(ctx context.Context, out io.Writer) error {
	service := responder.NewService(responder.Settings{Name: c.Name, Faults: responder.Faults{Delay: c.Delay}})
	incarnation := rand.Text()
	return serveStandin(ctx, out, "service", c.Listen, service, announceSettings{
		companion: c.Announce, keyFile: c.KeyFile,
		describe: func(_ context.Context, bound string) (announcer.Announcement, error) {
			return announcer.Announcement{
				Address: bound, Kind: configurer.BackendKindService, Service: c.Name, Incarnation: incarnation,
			}, nil
		},
	})
}

// standinStoreCommand runs a stand-in weight store.
type standinStoreCommand struct {
	Listen string        `arg:"required" placeholder:"IP:PORT" help:"address to serve on"`
	Rate   int           `default:"4" help:"loads that may start in a second"`
	Time   time.Duration `default:"250ms" help:"time of one load alone at full speed"`
}

func (c *standinStoreCommand) run(ctx context.Context, out io.Writer) error {
	store := weigher.NewStore(weigher.Settings{Rate: c.Rate, FullSpeedTime: c.Time})
	return serveStandin(ctx, out, "store", c.Listen, store, announceSettings{})
}

// standin is a stand-in that can be served on an address.
type standin interface {
	Listen(address string) (string, error)
	Close() error
}

// announceSettings are the settings with which a stand-in announces itself.
type announceSettings struct {
	// companion is the address of the companion's operators' listener; empty for a
	// stand-in that does not announce itself.
	companion string
	// keyFile is the path of the operators' key; empty if none is needed.
	keyFile string
	// describe returns the current announcement of the stand-in that listens on bound.
	describe func(ctx context.Context, bound string) (announcer.Announcement, error)
}

// run sends announcements periodically until ctx ends and prints each change of the result.
func (a announceSettings) run(ctx context.Context, out io.Writer, bound string) error {
	client := announcer.Client{Companion: a.companion, HTTP: &http.Client{}}
	if a.keyFile != "" {
		var err error
		if client.Key, err = configurer.ReadSecret(a.keyFile); err != nil {
			return usageError{err}
		}
	}
	describe := func(ctx context.Context) (announcer.Announcement, error) { return a.describe(ctx, bound) }
	client.AnnouncePeriodically(ctx, announcer.DefaultInterval, describe, func(err error) {
		if err != nil {
			fmt.Fprintf(out, "not accepted by the companion: %v\n", err)
			return
		}
		fmt.Fprintf(out, "announced to %s\n", a.companion)
	})
	return nil
}

func serveStandin(ctx context.Context, out io.Writer, name, address string, s standin, a announceSettings) error {
	bound, err := s.Listen(address)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "stand-in %s on %s\n", name, bound)
	if a.companion != "" {
		if err := a.run(ctx, out, bound); err != nil {
			return stderrors.Join(err, s.Close())
		}
	}
	<-ctx.Done()
	return errors.Trace(s.Close())
}
