package sealer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

// acceptance is the first byte that a listener sends after the handshake.
const acceptance byte = 1

// Conn is a connection whose other end has been authenticated.
type Conn struct {
	*tls.Conn
	peer Identity
}

// Identity returns the other end's identity.
func (c *Conn) Identity() Identity { return c.peer }

// establish performs the handshake and the exchange that follows it. When ctx ends, it
// closes the connection and returns an error.
func establish(ctx context.Context, network *tls.Conn, exchange func(net.Conn) error) (*Conn, error) {
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

// sendAcceptance reports to the dialler that its certificate was accepted.
func sendAcceptance(network net.Conn) error {
	_, err := network.Write([]byte{acceptance})
	return errors.Trace(err)
}

// awaitAcceptance waits for the listener's acceptance. It fails if the listener sends a TLS
// alert instead.
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
