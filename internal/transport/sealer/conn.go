package sealer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

// acceptance is the first byte that a listener sends.
const acceptance byte = 1

// Conn is a connection whose other end has proved who it is.
type Conn struct {
	*tls.Conn
	peer Identity
}

// Identity returns the other end's identity.
func (c *Conn) Identity() Identity { return c.peer }

// open does the handshake and what both ends exchange after it, until ctx ends,
// which closes the connection.
func open(ctx context.Context, network *tls.Conn, exchange func(net.Conn) error) (*Conn, error) {
	abort := context.AfterFunc(ctx, func() { network.NetConn().SetDeadline(time.Unix(1, 0)) })
	err := network.HandshakeContext(ctx)
	if err == nil {
		err = exchange(network)
	}
	if !abort() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		network.NetConn().Close()
		return nil, err
	}
	peer, err := IdentityOf(network.ConnectionState().PeerCertificates[0])
	if err != nil {
		network.NetConn().Close()
		return nil, err
	}
	return &Conn{Conn: network, peer: peer}, nil
}

// accept tells the dialler that its certificate was accepted.
func accept(network net.Conn) error {
	_, err := network.Write([]byte{acceptance})
	return errors.Trace(err)
}

// awaitAcceptance waits for the listener's word, or for its alert.
func awaitAcceptance(network net.Conn) error {
	var first [1]byte
	if _, err := io.ReadFull(network, first[:]); err != nil {
		return errors.Annotate(err, "this process's certificate was not accepted")
	}
	if first[0] != acceptance {
		return errors.NotValidf("first byte %d of a listener", first[0])
	}
	return nil
}
