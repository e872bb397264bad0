package demonstrator

import (
	"context"
	"net"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

const (
	groupRetryDelay  = 200 * time.Millisecond
	groupCallTimeout = 5 * time.Second
)

// ReplaceControl replaces a control host that is down: it deletes the host's data,
// removes the old identity from the group, starts the host with a new identity,
// adds that to the group, and waits until it is a voter.
func (d *Deployment) ReplaceControl(ctx context.Context, name string) error {
	before, after, err := d.resetHost(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.changeGroup(ctx, distributor.GroupChange{
		Action: distributor.GroupRemove, Host: distributor.GroupHost{ID: before.ID},
	}); err != nil {
		return errors.Annotate(err, "take the old identity out")
	}
	if err := d.Restart(name); err != nil { //nolint:contextcheck // A process outlives the call that starts it.
		return errors.Trace(err)
	}
	host := distributor.GroupHost{ID: after.ID, Address: after.Address, FailureDomain: after.FailureDomain, Voter: true}
	if err := d.changeGroup(ctx, distributor.GroupChange{Action: distributor.GroupAdd, Host: host}); err != nil {
		return errors.Annotate(err, "take the new identity in")
	}
	return errors.Annotate(d.waitVoter(ctx, after.ID), "wait for the new identity's vote")
}

// resetHost deletes the data of a host that is down and gives it a new identity.
// It returns the host before and after.
func (d *Deployment) resetHost(name string) (before, after configurer.ControlHost, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.node(name)
	if n == nil || n.process != nil {
		return before, after, errors.NotFoundf("process %q that is down", name)
	}
	hosts := slices.Clone(d.hosts)
	i := slices.IndexFunc(hosts, func(h configurer.ControlHost) bool { return h.Address == n.configuration.Control.Listen })
	before = hosts[i]
	highest := uint64(0)
	for _, h := range hosts {
		highest = max(highest, h.ID)
	}
	hosts[i].ID = highest + 1
	d.hosts = hosts
	for _, m := range d.nodes {
		m.configuration.ControlHosts = hosts
	}
	n.configuration.Control.Bootstrap, n.configuration.Control.Join = false, true
	n.configuration.Control.ID = hosts[i].ID
	return before, hosts[i], errors.Trace(os.RemoveAll(n.configuration.DataFolder))
}

// changeGroup sends the change to one control host after the other until one
// accepts it or ctx ends.
func (d *Deployment) changeGroup(ctx context.Context, g distributor.GroupChange) error {
	for {
		err := errors.New("no control host is up")
		for _, address := range d.controlAddresses() {
			if _, err = callGroup(ctx, address, g); err == nil {
				return nil
			}
		}
		if !sleep(ctx, groupRetryDelay) {
			return errors.Trace(err)
		}
	}
}

// waitVoter waits until a control host that has a leader reports the identity as a
// voter of the group.
func (d *Deployment) waitVoter(ctx context.Context, id uint64) error {
	for {
		for _, address := range d.controlAddresses() {
			g, err := callGroup(ctx, address, distributor.GroupChange{Action: distributor.GroupShow})
			if err != nil || g.Leader == 0 {
				continue
			}
			if slices.ContainsFunc(g.Hosts, func(h distributor.GroupHost) bool { return h.ID == id && h.Voter }) {
				return nil
			}
		}
		if !sleep(ctx, groupRetryDelay) {
			return errors.Trace(ctx.Err())
		}
	}
}

// controlAddresses returns the addresses of the running control hosts.
func (d *Deployment) controlAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, n := range d.nodes {
		if n.process != nil && n.configuration.HasRole(configurer.RoleControl) {
			addresses = append(addresses, n.configuration.Control.Listen)
		}
	}
	return addresses
}

// callGroup sends one group change or query to a control host.
func callGroup(ctx context.Context, address string, g distributor.GroupChange) (answer distributor.Group, err error) {
	ctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()
	network, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return answer, errors.Trace(err)
	}
	c := messenger.NewConn(network, messenger.Settings{}) //nolint:contextcheck // Close ends it.
	defer c.Close()
	g.TimeoutMillis = groupCallTimeout.Milliseconds()
	err = c.Call(ctx, messenger.MethodGroup, g, &answer)
	return answer, errors.Trace(err)
}
