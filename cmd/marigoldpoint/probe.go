package main

import (
	"context"
	"io"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/prober"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// probeCommand measures what nodes cost the control hosts.
type probeCommand struct {
	Settings   string        `arg:"required" placeholder:"FILE" help:"settings file that names the control hosts and their group"`
	Phase      string        `arg:"required" placeholder:"NAME" help:"idle, changes, renewals, reports, claims or permits"`
	Sizes      []int         `arg:"--size,separate,required" placeholder:"N" help:"clients, or claims or permits a second; give one for each point"`
	Processes  []int         `arg:"--process,separate" placeholder:"PID" help:"process of a control host whose usage is read"`
	Entries    int           `help:"entries besides those that the size counts"`
	Companions int           `help:"companions besides those that the size counts"`
	Window     time.Duration `default:"10s" help:"length of one measurement"`
	Rate       float64       `default:"50" help:"changes a second"`
	Heartbeat  time.Duration `default:"500ms" help:"time between two renewals of a companion"`
	Repeat     int           `default:"3" help:"measurements of each size"`
}

func (c *probeCommand) run(ctx context.Context, out io.Writer) error {
	phase, err := prober.ParsePhase(c.Phase)
	if err != nil {
		return usageError{err}
	}
	file, err := configurer.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	prober.WriteHead(out)
	var rows []prober.Row
	for n := range c.Repeat {
		for _, size := range c.Sizes {
			row, err := prober.Run(ctx, prober.Settings{
				Hosts: file.ControlHosts, Group: file.Control.Group, Processes: c.Processes, Phase: phase,
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
