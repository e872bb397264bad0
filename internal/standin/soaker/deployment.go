package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const (
	group  = "soak"
	region = "loopback"
	// slots and maxBatch are those of each engine, and loadRate is the rate of the weight store
	// in loads a second.
	slots    = 4
	maxBatch = 16
	loadRate = 8
	// linkedServiceTime is the duration of a call to a plain service with link faults. Calls that
	// take no time are hardly ever in progress when a fault begins.
	linkedServiceTime = 500 * time.Millisecond
)

// deployment is a deployment of separate processes with stand-ins for its backend servers.
type deployment struct {
	settings Settings
	findings *findings
	store    *weigher.Store
	engines  []*generator.Engine
	services []*responder.Service
	// nodes are the settings of all processes, entries first.
	nodes     []configurer.Settings
	processes []*process
	// listens holds the option of serve that has a process listen behind its proxy, and proxies
	// the proxies, both by the name of the process; empty without link faults.
	listens map[string][]string
	proxies map[string]*proxy
	// reserved holds the listeners that keep the addresses of processes free until they start.
	reserved []net.Listener
}

// newDeployment starts a deployment. On an error it closes what was started.
func newDeployment(s Settings, f *findings) (*deployment, error) {
	d := &deployment{settings: s, findings: f, listens: make(map[string][]string), proxies: make(map[string]*proxy)}
	if err := d.start(); err != nil {
		d.close()
		return nil, errors.Trace(err)
	}
	return d, nil
}

func (d *deployment) start() error {
	d.store = weigher.NewStore(weigher.Settings{Rate: loadRate, TimeScale: d.settings.TimeScale})
	store, err := d.store.Listen("127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.configure("http://" + store); err != nil {
		return errors.Trace(err)
	}
	for _, l := range d.reserved {
		if err := l.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	for _, n := range d.nodes {
		path := filepath.Join(d.settings.Folder, n.Node+".json")
		text, err := json.MarshalIndent(newSettingsFile(n), "", "\t")
		if err != nil {
			return errors.Annotate(err, n.Node)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return errors.Trace(err)
		}
		arguments := append([]string{d.settings.Program, "serve", "--settings", path}, d.listens[n.Node]...)
		p, err := newProcess(n.Node, arguments, filepath.Join(d.settings.Folder, n.Node+".log"), d.findings)
		if err != nil {
			return errors.Trace(err)
		}
		d.processes = append(d.processes, p)
	}
	return nil
}

// configure starts the stand-ins and builds the settings of all processes.
func (d *deployment) configure(store string) error {
	var hosts []configurer.ControlHost
	for i := range d.settings.Entries {
		address, err := d.reservePeers(nodeName("entry", i))
		if err != nil {
			return errors.Trace(err)
		}
		hosts = append(hosts, configurer.ControlHost{ID: uint64(i + 1), Address: address, FailureDomain: d.domain(i), Region: region})
	}
	for i := range hosts {
		n := d.node("entry", i, hosts, configurer.RoleEntry, configurer.RoleControl)
		n.DataFolder = filepath.Join(d.settings.Folder, n.Node)
		n.Control.Group, n.Control.Listen, n.Control.Bootstrap = group, hosts[i].Address, i == 0
		n.Control.StoreRate = loadRate / d.settings.TimeScale
		var err error
		if n.Entry.Listen, err = d.reserve(); err != nil {
			return errors.Trace(err)
		}
		if err := d.add(&n); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range d.settings.Engines {
		engine := generator.NewEngine(generator.Settings{
			BaseModel: d.settings.Workload.BaseModel, Slots: slots, MaxBatch: maxBatch, WeightStore: store,
			ChecksFencing: true, TimeScale: d.settings.TimeScale, Seed: d.settings.Seed + uint64(i),
		})
		d.engines = append(d.engines, engine)
		address, err := engine.Listen("127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		n := d.node("engine", i, hosts, configurer.RoleCompanion)
		n.Companion.Kind, n.Companion.EngineAddress, n.Companion.ChecksFencing = configurer.BackendKindEngine, address, true
		n.Companion.BaseModel = d.settings.Workload.BaseModel
		if err := d.addCompanion(&n); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range d.settings.Services {
		settings := responder.Settings{Name: d.settings.Workload.Service.Name}
		if d.settings.Links {
			settings.Delay = linkedServiceTime
		}
		service := responder.NewService(settings)
		d.services = append(d.services, service)
		address, err := service.Listen("127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		n := d.node("service", i, hosts, configurer.RoleCompanion)
		n.Companion.Kind, n.Companion.ServiceAddress, n.Companion.ServiceName = configurer.BackendKindService, address, d.settings.Workload.Service.Name
		if err := d.addCompanion(&n); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *deployment) domain(i int) string { return fmt.Sprintf("domain-%d", i%d.settings.Entries+1) }

func nodeName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

func (d *deployment) node(kind string, i int, hosts []configurer.ControlHost, roles ...configurer.Role) configurer.Settings {
	n := configurer.Settings{
		Node: nodeName(kind, i), Region: region, FailureDomain: d.domain(i), Roles: roles, ControlHosts: hosts,
		Stop: configurer.StopSettings{BalancerDelay: configurer.Duration(200 * time.Millisecond)},
	}
	if n.HasRole(configurer.RoleCompanion) {
		n.Companion.OrderLife = configurer.Duration(time.Second)
	}
	return n
}

// addCompanion reserves the address of a companion for entries and adds it.
func (d *deployment) addCompanion(n *configurer.Settings) error {
	var err error
	if n.Companion.Listen, err = d.reservePeers(n.Node); err != nil {
		return errors.Trace(err)
	}
	return d.add(n)
}

// add reserves the operators' address of a process and adds it.
func (d *deployment) add(n *configurer.Settings) error {
	var err error
	if n.Operators.Listen, err = d.reserve(); err != nil {
		return errors.Trace(err)
	}
	d.nodes = append(d.nodes, *n)
	return nil
}

// reserve returns an address for a listener of a process.
func (d *deployment) reserve() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback(os.Getpid()), "0"))
	if err != nil {
		return "", errors.Trace(err)
	}
	d.reserved = append(d.reserved, l)
	return l.Addr().String(), nil
}

// reservePeers returns the address at which other processes reach a process. With link faults it is
// that of the process's proxy.
func (d *deployment) reservePeers(name string) (string, error) {
	own, err := d.reserve()
	if err != nil || !d.settings.Links {
		return own, errors.Trace(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	public := l.Addr().String()
	d.proxies[name] = newProxy(l, own)
	d.listens[name] = []string{"--listen", public + "=" + own}
	return public, nil
}

// names returns the names of all processes.
func (d *deployment) names() []string {
	var names []string
	for _, p := range d.processes {
		names = append(names, p.name)
	}
	return names
}

// process returns the process with the given name.
func (d *deployment) process(name string) *process {
	for _, p := range d.processes {
		if p.name == name {
			return p
		}
	}
	panic("soaker: no such process")
}

// entries returns the addresses of the entries.
func (d *deployment) entries() []driver.Entry {
	var entries []driver.Entry
	for _, n := range d.nodes[:d.settings.Entries] {
		entries = append(entries, driver.Entry{Address: n.Entry.Listen, Operator: n.Operators.Listen})
	}
	return entries
}

// operators returns the addresses at which the entries' hosts serve operators.
func (d *deployment) operators() []string {
	var operators []string
	for _, e := range d.entries() {
		operators = append(operators, e.Operator)
	}
	return operators
}

// observed returns the stand-ins whose records tell what ran.
func (d *deployment) observed() []driver.Observed {
	var observed []driver.Observed
	for _, e := range d.engines {
		observed = append(observed, driver.LocalEngine{Engine: e, MaxBatch: e.MaxBatch()})
	}
	for _, s := range d.services {
		observed = append(observed, driver.LocalService{Service: s})
	}
	return observed
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	for _, p := range d.proxies {
		p.close()
	}
	for _, l := range d.reserved {
		_ = l.Close()
	}
	for _, e := range d.engines {
		_ = e.Close()
	}
	for _, s := range d.services {
		_ = s.Close()
	}
	if d.store != nil {
		_ = d.store.Close()
	}
}

// startTimeout limits the wait until all processes listen.
const startTimeout = 20 * time.Second

// awaitReady waits until the operators' listeners of all processes accept connections.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", n.Operators.Listen)
			if err == nil {
				if err := conn.Close(); err != nil {
					return errors.Trace(err)
				}
				break
			}
			if !pauser.Pause(ctx, changePause) {
				return errors.Annotate(err, n.Node)
			}
		}
	}
	return nil
}
