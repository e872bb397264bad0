package main

import (
	"context"
	"io"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/prober"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// probeCommand groups the commands that measure resource costs.
type probeCommand struct {
	Nodes   *probeNodesCommand   `arg:"subcommand:nodes" help:"measure what nodes cost the control hosts"`
	Streams *probeStreamsCommand `arg:"subcommand:streams" help:"measure what streams cost an entry and a companion"`
}

// probeNodesCommand measures the cost of nodes to the control hosts.
type probeNodesCommand struct {
	Settings   string        `arg:"required" placeholder:"FILE" help:"settings file that names the control hosts and their group"`
	Phase      string        `arg:"required" placeholder:"NAME" help:"idle, changes, renewals, loads, reports, claims or permits"`
	Sizes      []int         `arg:"--size,separate,required" placeholder:"N" help:"clients, or claims or permits a second; give one for each point"`
	Processes  []int         `arg:"--process,separate" placeholder:"PID" help:"process of a control host whose usage is read"`
	Entries    int           `help:"entries besides those that the size counts"`
	Companions int           `help:"companions besides those that the size counts"`
	Window     time.Duration `default:"10s" help:"length of one measurement"`
	Rate       float64       `default:"50" help:"changes a second"`
	Heartbeat  time.Duration `default:"500ms" help:"time between two renewals of a companion"`
	Repeat     int           `default:"3" help:"measurements of each size"`
}

func (c *probeNodesCommand) run(ctx context.Context, out io.Writer) error {
	phase, err := prober.ParsePhase(c.Phase)
	if err != nil {
		return usageError{err}
	}
	settings, err := configurer.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	prober.WriteHeader(out)
	var rows []prober.Row
	for n := range c.Repeat {
		for _, size := range c.Sizes {
			row, err := prober.Run(ctx, prober.Settings{
				Hosts: settings.ControlHosts, Group: settings.Control.Group, Processes: c.Processes, Phase: phase,
				Entries: c.Entries, Companions: c.Companions, Window: c.Window, Rate: c.Rate,
				HeartbeatInterval: c.Heartbeat, Seed: uint64(n + 1),
			}, size)
			if err != nil {
				return err
			}
			row.Write(out)
			rows = append(rows, row)
		}
	}
	prober.WriteSlopes(out, phase, rows)
	return nil
}

// probeStreamsCommand measures the cost of streams to an entry and a companion.
type probeStreamsCommand struct {
	Settings  string        `arg:"required" placeholder:"FILE" help:"settings file that names the control hosts and their group"`
	Entry     string        `arg:"required" placeholder:"IP:PORT" help:"callers' listener of an entry"`
	Processes []int         `arg:"--process,separate" placeholder:"PID" help:"process whose usage is read"`
	Callers   []int         `arg:"--callers,separate,required" placeholder:"N" help:"streams open at once; give one for each point"`
	Tokens    []int         `arg:"--tokens,separate,required" placeholder:"N" help:"tokens of each answer; give one for each point"`
	Window    time.Duration `default:"10s" help:"length of one measurement"`
	Repeat    int           `default:"3" help:"measurements of each pair"`
}

func (c *probeStreamsCommand) run(ctx context.Context, out io.Writer) error {
	settings, err := configurer.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	s := prober.StreamSettings{
		Hosts: settings.ControlHosts, Group: settings.Control.Group, Entry: c.Entry, Processes: c.Processes, Window: c.Window,
	}
	prepareCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	if err := prober.PrepareStreams(prepareCtx, s); err != nil {
		return err
	}
	var rows []prober.StreamRow
	for range c.Repeat {
		for _, s.Callers = range c.Callers {
			for _, s.Tokens = range c.Tokens {
				row, err := prober.RunStreams(ctx, s)
				if err != nil {
					return err
				}
				row.Write(out)
				rows = append(rows, row)
			}
		}
	}
	prober.WriteStreamSlopes(out, rows)
	return nil
}
