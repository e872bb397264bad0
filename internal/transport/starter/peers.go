package starter

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// startSealer reads the process's certificate, if the settings name one.
func (p *Process) startSealer() error {
	c := p.settings.Configuration
	if !c.Peers.IsSet() {
		p.warnUnauthenticated(c.Control.Listen, configurer.RoleControl)
		p.warnUnauthenticated(c.Companion.Listen, configurer.RoleCompanion)
		return nil
	}
	var err error
	p.sealer, err = sealer.NewSealer(sealer.Settings{
		Files:      c.Peers,
		Node:       c.Node,
		Roles:      c.Roles,
		Registerer: p.settings.Registry,
		Log:        p.settings.Log,
		Now:        p.settings.Now,
	})
	return errors.Trace(err)
}

// warnUnauthenticated warns of a listener without authentication: anybody who reaches it
// can have requests run, change what operators declared, or end a membership.
func (p *Process) warnUnauthenticated(address string, r configurer.Role) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsLoopback() || !p.settings.Configuration.HasRole(r) {
		return
	}
	p.settings.Log.Warn().Str("Address", address).Stringer("Role", r).
		Msg("without Peers in the settings, any client that reaches this address can act as a process of the system")
}

// messenger returns the settings of connections between processes, with handler h.
func (p *Process) messenger(h messenger.Handler) messenger.Settings {
	s := messenger.Settings{Recorder: p.recorder, Log: p.settings.Log, Handler: h}
	if p.sealer != nil {
		s.Allow = p.sealer.Allow
	}
	return s
}

// listenPeers opens a listener for connections from other processes.
func (p *Process) listenPeers(address string) (net.Listener, error) {
	network, err := p.settings.Listen(address)
	if err != nil || p.sealer == nil {
		return network, errors.Trace(err)
	}
	return p.sealer.Listen(network), nil
}

// dialPeers returns the dial function for processes with role r; nil means TCP.
func (p *Process) dialPeers(r configurer.Role) func(ctx context.Context, address string) (net.Conn, error) {
	if p.sealer == nil {
		return p.settings.Dial
	}
	dial := p.settings.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return p.sealer.Dial(r, dial)
}
