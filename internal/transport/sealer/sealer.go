package sealer

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// DefaultHandshakeTimeout limits the handshake of an accepted connection. It is longer than
// the diallers' own limit, so that with a loaded host the dialler gives up first and then
// knows that nothing was sent.
const DefaultHandshakeTimeout = 3 * time.Second

// minLogInterval is the shortest time between two log lines about refused peers or about
// files: otherwise anyone who can reach the port could fill the disk with logs.
const minLogInterval = time.Second

// Settings are the options of a Sealer.
type Settings struct {
	// Files are the files of the process's certificate, its key and the authority.
	// Required.
	Files configurer.PeersSettings
	// Node and Roles are those of this process. Its certificate must contain them.
	Node  string
	Roles []configurer.Role
	// HandshakeTimeout limits the handshake of an accepted connection; 0 means
	// DefaultHandshakeTimeout.
	HandshakeTimeout time.Duration
	// Registerer registers the metrics; nil means none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is the clock for the validity of certificates; nil means time.Now.
	Now func() time.Time
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Sealer opens and accepts the authenticated connections of one process. It is safe for
// concurrent use.
type Sealer struct {
	settings Settings
	metrics  *metrics
	// refusalLog and reloadLog limit the rate of log lines.
	refusalLog rate.Sometimes
	reloadLog  rate.Sometimes

	mu sync.Mutex
	// material is the last valid content of the files; guarded by mu.
	material *material
	// fileStamps are the stamps of the files that material was read from; guarded by mu.
	fileStamps stamps
}

// NewSealer reads the files. It fails if they don't match each other or the process, or if
// the certificate is not valid now.
func NewSealer(s Settings) (*Sealer, error) {
	s.HandshakeTimeout = cmp.Or(s.HandshakeTimeout, DefaultHandshakeTimeout)
	if s.Now == nil {
		s.Now = time.Now
	}
	r := &Sealer{
		settings: s, metrics: newMetrics(s.Registerer),
		refusalLog: rate.Sometimes{Interval: minLogInterval}, reloadLog: rate.Sometimes{Interval: minLogInterval},
	}
	fileStamps, err := stampsOf(s.Files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := r.loadMaterial()
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.setMaterial(m, fileStamps)
	return r, nil
}

// loadMaterial reads the files and checks that the certificate is this process's.
func (s *Sealer) loadMaterial() (*material, error) {
	m, err := load(s.settings.Files, s.settings.Now())
	if err != nil {
		return nil, err
	}
	if m.identity.Node != s.settings.Node {
		return nil, errors.NotValidf("%s: certificate of the node %q for %q", s.settings.Files.CertificateFile, m.identity.Node, s.settings.Node)
	}
	for _, role := range s.settings.Roles {
		if !m.identity.Has(role) {
			return nil, errors.NotValidf("%s: certificate without the role %v", s.settings.Files.CertificateFile, role)
		}
	}
	return m, nil
}

// setMaterial puts material into use. The caller holds mu, or has the only reference to s.
func (s *Sealer) setMaterial(m *material, fileStamps stamps) {
	s.material, s.fileStamps = m, fileStamps
	s.metrics.expiry.Set(float64(m.certificate.Leaf.NotAfter.Unix()))
}

// current returns the material, and reloads it if the files have changed. The stamps are
// taken before the files are read, so that files replaced in between are reloaded by the
// next handshake.
func (s *Sealer) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	fileStamps, err := stampsOf(s.settings.Files)
	if err == nil && fileStamps == s.fileStamps {
		return s.material
	}
	var m *material
	if err == nil {
		m, err = s.loadMaterial()
	}
	if err != nil {
		s.reloadLog.Do(func() {
			s.settings.Log.Warn().Err(err).Msg("could not use the changed certificate files; the previous ones stay in use")
		})
		return s.material
	}
	s.setMaterial(m, fileStamps)
	s.settings.Log.Info().Time("NotAfter", m.certificate.Leaf.NotAfter).Msg("certificate files reloaded")
	return m
}

// serverConfig returns the TLS configuration of an accepting end.
func (m *material) serverConfig(now func() time.Time) *tls.Config {
	c := m.baseConfig(now)
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = m.authority
	c.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := IdentityOf(state.PeerCertificates[0])
		return err
	}
	return c
}

// clientConfig returns the TLS configuration for dialling a process with a role.
func (m *material) clientConfig(role configurer.Role, now func() time.Time) *tls.Config {
	c := m.baseConfig(now)
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		// The library's default sends no certificate to a listener that trusts another
		// authority, which then can't log what was wrong.
		return &m.certificate, nil
	}
	// The library would check the name of a host, but the names here are URIs.
	// VerifyConnection checks the chain and the role instead.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := m.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, now()); err != nil {
			return err
		}
		peer, err := IdentityOf(state.PeerCertificates[0])
		if err != nil {
			return err
		}
		if !peer.Has(role) {
			return errors.NotValidf("%s where the role %v is wanted", peer, role)
		}
		return nil
	}
	return c
}

// baseConfig returns the configuration that both ends share. There are no session tickets:
// most handshakes follow a restart, after which a process no longer has its ticket keys.
// Records have their full size from the start: messages are processed only once complete,
// so that small first records would only cost more writes.
func (m *material) baseConfig(now func() time.Time) *tls.Config {
	return &tls.Config{
		Certificates:                []tls.Certificate{m.certificate},
		MinVersion:                  tls.VersionTLS13,
		SessionTicketsDisabled:      true,
		DynamicRecordSizingDisabled: true,
		Time:                        now,
	}
}

// Dial returns a function that opens a connection by dial and then verifies that the other
// end has the role and has accepted this process.
func (s *Sealer) Dial(role configurer.Role, dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		network, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c, err := establish(ctx, tls.Client(network, s.current().clientConfig(role, s.settings.Now)), awaitAcceptance)
		if ctx.Err() != nil {
			// A cancelled dial says nothing about certificates, so it is not counted.
			return nil, errors.Annotate(ctx.Err(), "handshake")
		}
		s.countHandshake(err, "dialling", address)
		if err != nil {
			return nil, errors.Annotate(err, "handshake")
		}
		return c, nil
	}
}

// Allow returns nil if the other end of a connection may send a message, and otherwise a
// *messenger.Refusal. It is used as messenger.Settings.Allow.
func (s *Sealer) Allow(network net.Conn, m messenger.Method, params json.RawMessage) error {
	c, ok := network.(*Conn)
	if !ok {
		return messenger.NewRefusal(messenger.ReasonForbidden, "the connection is not authenticated")
	}
	err := Authorize(c.peer, m, params)
	if err != nil {
		s.metrics.messages.Inc()
		s.refusalLog.Do(func() {
			s.settings.Log.Warn().Err(err).Str("Peer", c.RemoteAddr().String()).Msg("message refused")
		})
	}
	return err
}

// countHandshake counts a handshake, and logs a failed one.
func (s *Sealer) countHandshake(err error, action, address string) {
	if err == nil {
		s.metrics.handshakes.WithLabelValues(outcomeAccepted).Inc()
		return
	}
	s.metrics.handshakes.WithLabelValues(outcomeRefused).Inc()
	s.refusalLog.Do(func() {
		s.settings.Log.Warn().Err(err).Str("Peer", address).Msg(action + ": handshake failed")
	})
}
