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

// region is the only region of a deployment.
const region = "loopback"

// Names of relay endpoints that are not nodes of the deployment.
const (
	enginesName   = "engines"
	storeName     = "store"
	backendSuffix = " backend"
)

// backendName returns the relay endpoint name of a companion's backend server.
func backendName(companion string) string { return companion + backendSuffix }

// Deployment is a running small deployment. It is safe for concurrent use.
type Deployment struct {
	settings Settings
	ports    *ports
	store    *weigher.Store
	engines  []*generator.Engine
	services []*responder.Service
	hosts    []configurer.ControlHost
	// authority signs the processes' certificates; nil if the deployment is not
	// sealed.
	authority *authority
	// network relays the connections between the processes; nil if they connect
	// directly.
	network *network

	mu sync.Mutex
	// nodes holds all processes, entries first; guarded by mu.
	nodes []*node
}

// node is one process of the deployment with the settings for restarting it.
type node struct {
	configuration configurer.Settings
	// process is nil while the node is down.
	process *starter.Process
	// incarnations counts the starts of the process.
	incarnations uint64
	// ended holds the processes that ended since the last call of Timeline.
	ended []*starter.Process
}

// NewDeployment starts a deployment and returns without waiting until it serves;
// use Ready for that. On an error it closes all that was started.
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

// start starts the stand-ins and all processes. It runs before NewDeployment
// returns d, so d is not shared.
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
		if address, err = d.network.openRelay(enginesName, storeName, address); err != nil {
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

// configure builds the settings of all processes and opens the listeners of the
// engines and services.
func (d *Deployment) configure() error {
	if err := d.createAuthority(); err != nil {
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
		c := d.commonSettings(fmt.Sprintf("entry-%d", i+1), i, configurer.RoleEntry, configurer.RoleControl)
		c.Entry, c.Control = d.settings.Entry, d.settings.Control
		c.DataFolder = filepath.Join(d.settings.Folder, c.Node)
		c.Control.Listen, c.Control.Bootstrap = d.hosts[i].Address, true
		if err := d.addNode(&c, &c.Entry.Listen); err != nil {
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

func (d *Deployment) commonSettings(name string, i int, roles ...configurer.Role) configurer.Settings {
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
		if backend, err = d.network.openRelay(name, backendName(name), backend); err != nil {
			return errors.Trace(err)
		}
	}
	c := d.commonSettings(name, i, configurer.RoleCompanion)
	c.Companion = d.settings.Companion
	c.Companion.Kind = kind
	switch kind {
	case configurer.BackendKindService:
		c.Companion.ServiceAddress, c.Companion.ServiceName = backend, d.settings.Service.Name
	case configurer.BackendKindEngine:
		c.Companion.EngineAddress = backend
		c.Companion.ChecksFencing = d.settings.Engine.ChecksFencing
	}
	return d.addNode(&c, &c.Companion.Listen)
}

// addNode fills in the addresses and the certificate of one process and appends
// it to the nodes; listen points into c. It runs before NewDeployment returns d,
// so d is not shared.
func (d *Deployment) addNode(c *configurer.Settings, listen *string) error {
	var err error
	if *listen, err = d.ports.reserve(); err != nil {
		return errors.Trace(err)
	}
	if c.Operators.Listen, err = d.ports.reserve(); err != nil {
		return errors.Trace(err)
	}
	if d.network != nil {
		d.network.setOwner(*listen, c.Node)
		d.network.setOwner(c.Control.Listen, c.Node)
	}
	if err = d.certify(c); err != nil {
		return errors.Trace(err)
	}
	d.nodes = append(d.nodes, &node{configuration: c.WithDefaults()})
	return nil
}

func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i+1) }

// startNode starts the process of n, which must be down.
func (d *Deployment) startNode(n *node) error {
	n.incarnations++
	s := starter.Settings{
		Configuration: n.configuration,
		Eviction:      d.settings.Eviction,
		Log:           d.settings.Log.With().Str("Node", n.configuration.Node).Logger(),
		Listen:        d.ports.listen,
		Seed:          d.settings.Seed*1000003 + n.incarnations*1009 + uint64(len(n.configuration.Node))*31 + nameHash(n.configuration.Node),
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

// nameHash returns a hash of a process name, so that processes get different
// seeds.
func nameHash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name)) // hash.Hash.Write never returns an error.
	return sum.Sum64()
}

// Ready waits until every running process is ready for requests. It returns an
// error that names a process which is not ready when ctx ends.
func (d *Deployment) Ready(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		waiting := d.unreadyProcess()
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

// unreadyProcess returns the name of a running process that is not ready, or ""
// if there is none.
func (d *Deployment) unreadyProcess() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		if n.process != nil && !n.process.Ready() {
			return n.configuration.Node
		}
	}
	return ""
}

// Close ends all processes, stand-ins and relays without a planned stop, and
// waits for them. It returns their joined errors.
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
