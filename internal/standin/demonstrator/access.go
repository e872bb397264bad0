package demonstrator

import (
	"context"
	stderrors "errors"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// Engines returns the model engines.
func (d *Deployment) Engines() []*generator.Engine { return d.engines }

// Services returns the plain services.
func (d *Deployment) Services() []*responder.Service { return d.services }

// CallerAddresses returns the addresses of the entries' listeners for callers.
// The list of processes is fixed once NewDeployment has returned, so it is read
// without mu.
func (d *Deployment) CallerAddresses() []string {
	var addresses []string
	for _, n := range d.nodes {
		if n.configuration.HasRole(configurer.RoleEntry) {
			addresses = append(addresses, n.configuration.Entry.Listen)
		}
	}
	return addresses
}

// OperatorAddresses returns the addresses of all processes' listeners for
// operators, those of the entries first.
// The list of processes is fixed once NewDeployment has returned, so it is read
// without mu.
func (d *Deployment) OperatorAddresses() []string {
	addresses := make([]string, 0, len(d.nodes))
	for _, n := range d.nodes {
		addresses = append(addresses, n.configuration.Operators.Listen)
	}
	return addresses
}

// Names returns the names of all processes, the entries first.
// The list of processes is fixed once NewDeployment has returned, so it is read
// without mu.
func (d *Deployment) Names() []string {
	names := make([]string, 0, len(d.nodes))
	for _, n := range d.nodes {
		names = append(names, n.configuration.Node)
	}
	return names
}

// Process returns the running process of a name, or nil while it is down.
func (d *Deployment) Process(name string) *starter.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.node(name); n != nil {
		return n.process
	}
	return nil
}

// Leader returns the name of the process that is the control leader, or "" if
// there is none.
func (d *Deployment) Leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		if n.process != nil && n.process.Leading() {
			return n.configuration.Node
		}
	}
	return ""
}

// node returns the node of a name, or nil if there is none.
// The caller holds mu.
func (d *Deployment) node(name string) *node {
	for _, n := range d.nodes {
		if n.configuration.Node == name {
			return n
		}
	}
	return nil
}

// removeProcess marks a process as down and returns it. It returns a NotFound
// error if the process is not running.
func (d *Deployment) removeProcess(name string) (*starter.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.node(name)
	if n == nil || n.process == nil {
		return nil, errors.NotFoundf("running process %q", name)
	}
	p := n.process
	n.process = nil
	n.ended = append(n.ended, p)
	return p, nil
}

// Timeline returns the events of all running processes, and of those that ended
// since the last call, merged into one time line.
func (d *Deployment) Timeline() inspector.Timeline {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pages []recorder.Page
	for _, n := range d.nodes {
		for _, p := range n.ended {
			pages = append(pages, p.Recorder().Events(""))
		}
		n.ended = nil
		if n.process != nil {
			pages = append(pages, n.process.Recorder().Events(""))
		}
	}
	return inspector.Timeline{Events: recorder.Merge(pages)}
}

// Stop performs a planned stop of a process.
func (d *Deployment) Stop(ctx context.Context, name string) error {
	p, err := d.removeProcess(name)
	if err != nil {
		return errors.Trace(err)
	}
	return stderrors.Join(p.Stop(ctx), p.Close())
}

// Kill ends a process without a planned stop, as a crash does.
func (d *Deployment) Kill(name string) error {
	p, err := d.removeProcess(name)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Close())
}

// Restart starts a process that is down, with its previous settings and data.
func (d *Deployment) Restart(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.node(name)
	if n == nil || n.process != nil {
		return errors.NotFoundf("process %q that is down", name)
	}
	return errors.Trace(d.startNode(n))
}

// EngineAddresses returns the addresses at which companions reach the model
// engines.
// The list of processes is fixed once NewDeployment has returned, so it is read
// without mu.
func (d *Deployment) EngineAddresses() []string {
	var addresses []string
	for _, n := range d.nodes {
		if a := n.configuration.Companion.EngineAddress; a != "" {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// revisions returns the lowest and the highest revision that running entries have
// applied.
func (d *Deployment) revisions() (lowest, highest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		if n.process == nil || !n.configuration.HasRole(configurer.RoleEntry) {
			continue
		}
		revision := n.process.Revision()
		if highest == 0 || revision < lowest {
			lowest = revision
		}
		highest = max(highest, revision)
	}
	return lowest, highest
}
