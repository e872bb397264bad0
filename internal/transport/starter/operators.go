package starter

import (
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"marigoldpoint.example/marigoldpoint/internal/protocol/announcer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// Limits of the operators' listener.
const (
	operatorsMaxHeaderBytes = 32 << 10
	operatorsHeaderTimeout  = 5 * time.Second
	operatorsBodyTimeout    = 10 * time.Second
	operatorsIdleTimeout    = 2 * time.Minute
)

func (p *Process) startOperators() error {
	c := p.settings.Configuration
	var key configurer.Secret
	if c.Operators.KeyFile != "" {
		var err error
		if key, err = configurer.ReadSecret(c.Operators.KeyFile); err != nil {
			return errors.Trace(err)
		}
	}
	network, err := p.settings.Listen(c.Operators.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	p.operatorsListener = listener.NewHTTP(network, p.operatorsHandler(key), listener.Limits{
		MaxHeaderBytes: operatorsMaxHeaderBytes,
		HeaderTimeout:  operatorsHeaderTimeout,
		BodyTimeout:    operatorsBodyTimeout,
		IdleTimeout:    operatorsIdleTimeout,
		ReceiveBuffer:  receiveBuffer,
		Allotter:       p.allotter,
	}, p.settings.Log)
	return nil
}

// operatorsHandler serves health, readiness and metrics without authorization, and
// everything else to operators only.
func (p *Process) operatorsHandler(key configurer.Secret) http.Handler {
	notAccepted := func(err error) bool { return errors.Is(err, subscriber.ErrNotAccepted) }
	api := operator.NewAPI(operator.Settings{
		Control:     p.client,
		NotAccepted: notAccepted,
		Key:         key.Reveal(),
		Now:         p.settings.Now,
		Recorder:    p.recorder,
		Registerer:  p.settings.Registry,
		Log:         p.settings.Log,
	})
	mux := http.NewServeMux()
	mux.Handle("/api/", api)
	group := api.Guard(controller.Administration(p.client, notAccepted))
	mux.Handle(controller.AdministrationPath, group)
	mux.Handle(controller.AdministrationPath+"/", group)
	mux.Handle("GET "+inspector.EventsPath, api.Guard(inspector.Handler(p.recorder)))
	if p.settings.Configuration.HasRole(configurer.RoleCompanion) {
		mux.Handle("POST "+announcer.Path, api.Guard(announcer.NewHandler(p.handleAnnouncement)))
	}
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.settings.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
