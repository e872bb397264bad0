package starter

import (
	stderrors "errors"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/transport/companion"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/gatekeeper"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

func (p *Process) startControl() error {
	c := p.settings.Configuration
	network, err := p.listenPeers(c.Control.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	control, err := controller.NewControl(controller.Settings{
		Node:          c.Node,
		Region:        c.Region,
		FailureDomain: c.FailureDomain,
		ID:            c.ControlID(),
		Hosts:         c.ControlHosts,
		Control:       c.Control,
		DataFolder:    c.DataFolder,
		Listener:      network,
		Dial:          p.dialPeers(configurer.RoleControl),
		Messenger:     p.messenger(nil),
		Allotter:      p.allotter,
		Recorder:      p.recorder,
		Registerer:    p.settings.Registry,
		Log:           p.settings.Log,
		Now:           p.settings.Now,
		Random:        p.forkRandom(),
	})
	if err != nil {
		return errors.Trace(stderrors.Join(err, network.Close()))
	}
	p.control = control
	control.Start()
	p.tasks.Go(p.watchLog)
	return nil
}

// watchLog fails the process when the replicated log has stopped, since its disk can't be
// trusted any more. A disk that does not accept writes only suspends the log.
func (p *Process) watchLog() {
	select {
	case <-p.control.Failed():
		if !p.stopping.Load() && p.runCtx.Err() == nil {
			p.fail(errors.New("the replicated log stopped after a failure"))
		}
	case <-p.runCtx.Done():
	}
}

func (p *Process) startClient() {
	c := p.settings.Configuration
	scope := distributor.ScopeCompanion
	if c.HasRole(configurer.RoleEntry) {
		scope = distributor.ScopeEntry
	}
	p.index = indexer.NewIndex(indexer.Settings{})
	if c.HasRole(configurer.RoleEntry) {
		p.callerConnections = moderator.NewModerator()
	}
	p.client = subscriber.NewClient(subscriber.Settings{
		Node:               c.Node,
		Region:             c.Region,
		FailureDomain:      c.FailureDomain,
		Group:              c.Control.Group,
		Scope:              scope,
		Backend:            c.Node,
		Hosts:              c.ControlHosts,
		Index:              p.index,
		ConfigurationLease: time.Duration(c.Control.ConfigurationLease),
		Messenger:          p.messenger(nil),
		Recorder:           p.recorder,
		Log:                p.settings.Log,
		Now:                p.settings.Now,
		Random:             p.forkRandom(),
		Dial:               p.dialPeers(configurer.RoleControl),
		Moderator:          p.callerConnections,
		Peers:              p.randomCompanions,
	})
}

// randomCompanions returns the addresses of up to n random companions.
func (p *Process) randomCompanions(random *rand.Rand, n int) []string {
	members := p.index.Members().Members
	var addresses []string
	for range min(n, len(members)) {
		addresses = append(addresses, members[random.IntN(len(members))].Spec.Address)
	}
	return addresses
}

func (p *Process) startEntry() error {
	c := p.settings.Configuration
	network, err := p.settings.Listen(c.Entry.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	pieces := gatekeeper.NewPieceRouter()
	p.pool = dialer.NewPool(dialer.Settings{
		Messenger: p.messenger(pieces), Random: p.forkRandom(), Dial: p.dialPeers(configurer.RoleCompanion),
	})
	p.entry = gatekeeper.NewEntry(gatekeeper.Settings{
		Node:          c.Node,
		Region:        c.Region,
		FailureDomain: c.FailureDomain,
		Entry:         c.Entry,
		Index:         p.index,
		Control:       p.client,
		Pool:          p.pool,
		PieceRouter:   pieces,
		Recorder:      p.recorder,
		Registerer:    p.settings.Registry,
		Log:           p.settings.Log,
		Now:           p.settings.Now,
		Random:        p.forkRandom(),
	})
	limits := gatekeeper.Limits(c.Entry)
	limits.Admission, limits.ReceiveBuffer, limits.Allotter = p.callerConnections, receiveBuffer, p.allotter
	p.entryListener = listener.NewHTTP(network, p.entry.Handler(), limits, p.settings.Log)
	return nil
}

// startCompanion starts the companion, or defers this to an announcement if the settings
// name no backend server.
func (p *Process) startCompanion() error {
	p.companionMu.Lock()
	defer p.companionMu.Unlock()
	p.companionRandom = p.forkRandom()
	p.companionSettings = p.settings.Configuration.Companion
	if p.companionSettings.BackendAddress() == "" {
		p.settings.Log.Info().Msg("waiting for the backend server to announce itself")
		return nil
	}
	return p.runCompanion(p.companionSettings)
}

// runCompanion starts the companion of the backend server named in m. The caller holds
// companionMu.
func (p *Process) runCompanion(m configurer.CompanionSettings) error {
	c := p.settings.Configuration
	network, err := p.listenPeers(m.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	s := companion.Settings{
		Node:          c.Node,
		Region:        c.Region,
		FailureDomain: c.FailureDomain,
		Address:       m.Listen,
		Companion:     m,
		Stop:          c.Stop,
		Policy:        p.settings.Eviction,
		Control:       p.client,
		Recorder:      p.recorder,
		Registerer:    p.settings.Registry,
		Log:           p.settings.Log,
		Now:           p.settings.Now,
		Random:        p.companionRandom,
	}
	switch m.Kind {
	case configurer.BackendKindService:
		s.Service = orderer.NewService(orderer.Settings{Address: m.ServiceAddress})
	default:
		s.Engine = orderer.NewEngine(orderer.Settings{Address: m.EngineAddress})
	}
	p.companionSettings = m
	p.companion = companion.NewCompanion(s)
	p.companionListener = listener.NewLimitedListener(network, p.messenger(p.companion), p.allotter)
	started := p.companion
	p.tasks.Go(func() { p.joinCompanion(started) })
	return nil
}

// joinCompanion starts the membership independently of the start of the process: an
// unavailable engine or control host must not delay the operators' listener.
func (p *Process) joinCompanion(c *companion.Companion) {
	if err := c.Start(p.runCtx); err != nil && p.runCtx.Err() == nil {
		p.fail(errors.Annotate(err, "starting the companion"))
	}
}
