package main

import (
	"context"
	stderrors "errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// serveCommand runs the roles listed in a settings file.
type serveCommand struct {
	Settings string `arg:"required" placeholder:"FILE" help:"settings file"`
}

func (c *serveCommand) run(ctx context.Context, out io.Writer) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	log := newLog(s, out)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p, err := starter.NewProcess(starter.Settings{Configuration: s, Registry: registry, Log: log}) //nolint:contextcheck // A signal begins a graceful stop, it does not cancel the process.
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
