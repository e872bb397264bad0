package demonstrator

import (
	"context"
	stderrors "errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// region is the one region of a deployment.
const region = "loopback"

// Names of what is no process, for the relays.
const (
	enginesName   = "engines"
	storeName     = "store"
	backendSuffix = " backend"
)

// backendName returns the name of the backend server beside a companion.
func backendName(companion string) string { return companion + backendSuffix }

// Deployment is a running small deployment. It may be used by several
// goroutines.
type Deployment struct {
	settings Settings
	ports    *ports
	store    *weigher.Store
	engines  []*generator.Engine
	services []*responder.Service
	hosts    []configurer.ControlHost
	// authority signs the processes' certificates; nil means that they have none.
	authority *authority
	// network carries the connections between the processes; nil means that
	// nothing stands between them.
	network *network

	mu sync.Mutex
	// nodes holds all processes, entries first; guarded by mu.
	nodes []*node
}

// node is one process of the deployment and the settings to start it again.
type node struct {
	configuration configurer.Settings
	// process is nil while the node is down.
	process *starter.Process
	// lives counts the starts.
	lives uint64
	// ended holds the processes that ended since the last Timeline.
	ended []*starter.Process
}

// NewDeployment starts a deployment. Ready tells when it serves.
func NewDeployment(s Settings) (*Deployment, error) {
	s = s.withDefaults()
	d := &Deployment{settings: s, ports: newPorts(s.FirstPort)}
	if s.Relays {
		d.network = newNetwork()
	}
	if err := d.start(); err != nil {
		return nil, errors.Trace(stderrors.Join(err, d.Close()))
	}
	return d, nil
}

// start has no lock of its own. Nobody else has it yet: it is not shared.
func (d *Deployment) start() error {
	if err := d.startStandins(); err != nil {
		return errors.Annotate(err, "starting the stand-ins")
	}
	if err := d.configure(); err != nil {
		return errors.Annotate(err, "reserving addresses")
	}
	for _, n := range d.nodes {
		if err := d.startNode(n); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *Deployment) startStandins() error {
	d.store = weigher.NewStore(d.settings.Store)
	address, err := d.store.Listen("127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	if d.network != nil {
		if address, err = d.network.front(enginesName, storeName, address); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range d.settings.Engines {
		s := d.settings.Engine
		s.WeightStore = "http://" + address
		s.Seed = d.settings.Seed + uint64(i)
		d.engines = append(d.engines, generator.NewEngine(s))
	}
	for range d.settings.Services {
		d.services = append(d.services, responder.NewService(d.settings.Service))
	}
	return nil
}

// configure makes the settings of all processes and opens the stand-ins.
func (d *Deployment) configure() error {
	if err := d.startAuthority(); err != nil {
		return errors.Trace(err)
	}
	for i := range d.settings.Entries {
		address, err := d.ports.reserve()
		if err != nil {
			return errors.Trace(err)
		}
		d.hosts = append(d.hosts, configurer.ControlHost{
			ID: uint64(i + 1), Address: address, FailureDomain: failureDomain(i), Region: region,
		})
	}
	for i := range d.settings.Entries {
		c := d.common(fmt.Sprintf("entry-%d", i+1), i, configurer.RoleEntry, configurer.RoleControl)
		c.Entry, c.Control = d.settings.Entry, d.settings.Control
		c.DataFolder = filepath.Join(d.settings.Folder, c.Node)
		c.Control.Listen, c.Control.Bootstrap = d.hosts[i].Address, true
		if err := d.add(&c, &c.Entry.Listen); err != nil {
			return errors.Trace(err)
		}
	}
	for i, e := range d.engines {
		if err := d.addCompanion(fmt.Sprintf("engine-%d", i+1), i, configurer.BackendKindEngine, e.Listen); err != nil {
			return errors.Trace(err)
		}
	}
	for i, s := range d.services {
		if err := d.addCompanion(fmt.Sprintf("service-%d", i+1), i, configurer.BackendKindService, s.Listen); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *Deployment) common(name string, i int, roles ...configurer.Role) configurer.Settings {
	return configurer.Settings{
		Node:          name,
		Region:        region,
		FailureDomain: failureDomain(i % d.settings.Entries),
		Roles:         roles,
		ControlHosts:  d.hosts,
		Control:       configurer.ControlSettings{Group: d.settings.Control.Group, ConfigurationLease: d.settings.Control.ConfigurationLease},
		Stop:          d.settings.Stop,
	}
}

func (d *Deployment) addCompanion(name string, i int, kind configurer.BackendKind, listen func(string) (string, error)) error {
	backend, err := listen("127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	if d.network != nil {
		if backend, err = d.network.front(name, backendName(name), backend); err != nil {
			return errors.Trace(err)
		}
	}
	c := d.common(name, i, configurer.RoleCompanion)
	c.Companion = d.settings.Companion
	c.Companion.Kind = kind
	switch kind {
	case configurer.BackendKindService:
		c.Companion.ServiceAddress, c.Companion.ServiceName = backend, d.settings.Service.Name
	case configurer.BackendKindEngine:
		c.Companion.EngineAddress = backend
		c.Companion.ChecksFencing = d.settings.Engine.ChecksFencing
	}
	return d.add(&c, &c.Companion.Listen)
}

// add fills in the addresses of one process; listen points into c.
// Nobody else has it yet: it is not shared.
func (d *Deployment) add(c *configurer.Settings, listen *string) error {
	var err error
	if *listen, err = d.ports.reserve(); err != nil {
		return errors.Trace(err)
	}
	if c.Operators.Listen, err = d.ports.reserve(); err != nil {
		return errors.Trace(err)
	}
	if d.network != nil {
		d.network.own(*listen, c.Node)
		d.network.own(c.Control.Listen, c.Node)
	}
	if err = d.certify(c); err != nil {
		return errors.Trace(err)
	}
	d.nodes = append(d.nodes, &node{configuration: c.WithDefaults()})
	return nil
}

func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i+1) }

func (d *Deployment) startNode(n *node) error {
	n.lives++
	s := starter.Settings{
		Configuration: n.configuration,
		Eviction:      d.settings.Eviction,
		Log:           d.settings.Log.With().Str("Node", n.configuration.Node).Logger(),
		Listen:        d.ports.listen,
		Seed:          d.settings.Seed*1000003 + n.lives*1009 + uint64(len(n.configuration.Node))*31 + hash(n.configuration.Node),
	}
	if d.network != nil {
		s.Dial = d.network.dialFrom(n.configuration.Node)
	}
	p, err := starter.NewProcess(s)
	if err != nil {
		return errors.Trace(err)
	}
	n.process = p
	return nil
}

// hash sets the seeds of processes apart by their names.
func hash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name)) // A hash's Write returns no error.
	return sum.Sum64()
}

// Ready waits until every process takes work.
func (d *Deployment) Ready(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		waiting := d.unready()
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%s is not ready", waiting)
		case <-ticker.C:
		}
	}
}

// unready names a process that runs and is not ready.
func (d *Deployment) unready() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		if n.process != nil && !n.process.Ready() {
			return n.configuration.Node
		}
	}
	return ""
}

// Close ends everything at once and waits.
func (d *Deployment) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for i := len(d.nodes) - 1; i >= 0; i-- {
		if p := d.nodes[i].process; p != nil {
			d.nodes[i].process = nil
			errs = append(errs, p.Close())
		}
	}
	for _, e := range d.engines {
		errs = append(errs, e.Close())
	}
	for _, s := range d.services {
		errs = append(errs, s.Close())
	}
	if d.store != nil {
		errs = append(errs, d.store.Close())
	}
	if d.network != nil {
		d.network.close()
	}
	d.ports.close()
	return stderrors.Join(errs...)
}
