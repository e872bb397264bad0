package main

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// memoryLimitShare is the share of Limits.Memory that is the Go runtime's soft limit. The rest is for memory
// that the runtime does not count, such as bytes that have arrived and were not read.
const memoryLimitShare = 0.5

// serveCommand runs the roles listed in a settings file.
type serveCommand struct {
	Settings string            `arg:"required" placeholder:"FILE" help:"settings file"`
	Listen   map[string]string `placeholder:"IP:PORT=IP:PORT" help:"for each address that the settings name, the one to listen at in its place, such as behind a proxy"`
}

func (c *serveCommand) run(ctx context.Context, out io.Writer) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	if err := c.checkListen(s); err != nil {
		return usageError{err}
	}
	if s.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.Memory)))
	}
	log := newLog(s, out)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p, err := starter.NewProcess(starter.Settings{Configuration: s, Registry: registry, Log: log, Listen: c.listen}) //nolint:contextcheck // A signal begins a graceful stop, it does not cancel the process.
	if err != nil {
		return err
	}
	log.Info().Str("FailureDomain", s.FailureDomain).Msg("serving")
	select {
	case <-ctx.Done():
		return stopProcess(p, log) //nolint:contextcheck // The first signal has ended ctx; a second cancels the stop.
	case err := <-p.Failed():
		log.Error().Err(err).Msg("fatal error; closing the process")
		return stderrors.Join(err, p.Close())
	}
}

// checkListen checks that Listen replaces addresses of the settings. A misspelt one would have no
// effect, and the process would listen at the proxy's address.
func (c *serveCommand) checkListen(s configurer.Settings) error {
	known := []string{s.Control.Listen, s.Entry.Listen, s.Companion.Listen, s.Operators.Listen}
	for address := range c.Listen {
		if !slices.Contains(known, address) {
			return errors.NotValidf("--listen: no listener of the settings has the address %q, it", address)
		}
	}
	return nil
}

// listen opens a listener for an address of the settings.
func (c *serveCommand) listen(address string) (net.Listener, error) {
	if other, ok := c.Listen[address]; ok {
		address = other
	}
	return net.Listen("tcp", address)
}

// stopProcess stops the process gracefully. A second signal closes it at once.
func stopProcess(p *starter.Process, log zerolog.Logger) error {
	signalCtx, restore := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer restore()
	log.Info().Msg("stopping")
	if err := stderrors.Join(p.Stop(signalCtx), p.Close()); err != nil {
		return errors.Annotate(err, "graceful stop failed")
	}
	log.Info().Msg("stopped")
	return nil
}

// newLog returns the logger of the process.
func newLog(s configurer.Settings, out io.Writer) zerolog.Logger {
	if s.Log.Format == configurer.LogFormatConsole {
		out = zerolog.ConsoleWriter{Out: out}
	}
	levels := map[configurer.LogLevel]zerolog.Level{
		configurer.LogLevelDebug: zerolog.DebugLevel,
		configurer.LogLevelInfo:  zerolog.InfoLevel,
		configurer.LogLevelWarn:  zerolog.WarnLevel,
		configurer.LogLevelError: zerolog.ErrorLevel,
	}
	return zerolog.New(out).Level(levels[s.Log.Level]).With().Timestamp().Str("Node", s.Node).Logger()
}
