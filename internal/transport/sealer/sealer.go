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

// DefaultHandshakeTimeout bounds the handshake of an accepted connection. It is
// longer than the diallers wait, so that a loaded host is given up by them, who
// then know that nothing was sent.
const DefaultHandshakeTimeout = 3 * time.Second

// complaintInterval is the least time between two log lines on refused peers or
// files: whoever reaches the port could otherwise fill the log's disk.
const complaintInterval = time.Second

// Settings are the options of a Sealer.
type Settings struct {
	// Files hold the process's certificate, its key and the authority. Required.
	Files configurer.PeersSettings
	// Node and Roles are the process's own. Its certificate must carry them.
	Node  string
	Roles []configurer.Role
	// HandshakeTimeout bounds the handshake of an accepted connection; 0 means
	// DefaultHandshakeTimeout.
	HandshakeTimeout time.Duration
	// Registerer takes the metrics; nil means none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is the clock by which certificates are valid; nil means time.Now.
	Now func() time.Time
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Sealer makes the authenticated connections of one process. It may be used by
// several goroutines.
type Sealer struct {
	settings Settings
	metrics  *metrics
	// refused and unread thin out the log.
	refused rate.Sometimes
	unread  rate.Sometimes

	mu sync.Mutex
	// material is what the files held last; guarded by mu.
	material *material
	// seen are the stamps of the files that material was read from; guarded by
	// mu.
	seen stamps
}

// NewSealer reads the files. It fails where they don't fit each other or the
// process, or where the certificate is not valid now.
func NewSealer(s Settings) (*Sealer, error) {
	s.HandshakeTimeout = cmp.Or(s.HandshakeTimeout, DefaultHandshakeTimeout)
	if s.Now == nil {
		s.Now = time.Now
	}
	r := &Sealer{
		settings: s, metrics: newMetrics(s.Registerer),
		refused: rate.Sometimes{Interval: complaintInterval}, unread: rate.Sometimes{Interval: complaintInterval},
	}
	seen, err := stampsOf(s.Files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := r.read()
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.take(m, seen)
	return r, nil
}

// read reads the files, whose certificate must be this process's.
func (s *Sealer) read() (*material, error) {
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

// take puts files that were read to use. The caller holds mu, or is the only one
// to know s.
func (s *Sealer) take(m *material, seen stamps) {
	s.material, s.seen = m, seen
	s.metrics.expiry.Set(float64(m.certificate.Leaf.NotAfter.Unix()))
}

// current returns what the files hold, reading them again when they have
// changed. The stamps are taken before the files are read: files replaced in
// between are read once more by the next handshake.
func (s *Sealer) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, err := stampsOf(s.settings.Files)
	if err == nil && seen == s.seen {
		return s.material
	}
	var m *material
	if err == nil {
		m, err = s.read()
	}
	if err != nil {
		s.unread.Do(func() {
			s.settings.Log.Warn().Err(err).Msg("changed certificate files can't be used; the former ones stay in use")
		})
		return s.material
	}
	s.take(m, seen)
	s.settings.Log.Info().Time("NotAfter", m.certificate.Leaf.NotAfter).Msg("certificate files read again")
	return m
}

// server returns the configuration of an accepting end.
func (m *material) server(now func() time.Time) *tls.Config {
	c := m.common(now)
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = m.authority
	c.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := IdentityOf(state.PeerCertificates[0])
		return err
	}
	return c
}

// client returns the configuration of an end that dials a process with a role.
func (m *material) client(role configurer.Role, now func() time.Time) *tls.Config {
	c := m.common(now)
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		// By itself the library sends none to a listener that trusts another
		// authority, which then can't tell its operators what was wrong.
		return &m.certificate, nil
	}
	// The name that the library would check is that of a host. Ours are URIs:
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

// common returns what both ends share. There are no session tickets: a process
// that restarted has forgotten its ticket keys, and restarts are what most
// handshakes follow. Records have their full size from the start, since messages
// are read whole: small first records only cost writes.
func (m *material) common(now func() time.Time) *tls.Config {
	return &tls.Config{
		Certificates:                []tls.Certificate{m.certificate},
		MinVersion:                  tls.VersionTLS13,
		SessionTicketsDisabled:      true,
		DynamicRecordSizingDisabled: true,
		Time:                        now,
	}
}

// Dial returns a function that dials by the given one and then makes sure that
// the other end has the role, and has accepted this process.
func (s *Sealer) Dial(role configurer.Role, dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		network, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c, err := open(ctx, tls.Client(network, s.current().client(role, s.settings.Now)), awaitAcceptance)
		if ctx.Err() != nil {
			// A dial that was given up says nothing about certificates.
			return nil, errors.Annotate(ctx.Err(), "handshake")
		}
		s.count(err, "dialling", address)
		if err != nil {
			return nil, errors.Annotate(err, "handshake")
		}
		return c, nil
	}
}

// Allow decides whether the other end of a connection may send a message. It is
// for messenger.Settings.Allow.
func (s *Sealer) Allow(network net.Conn, m messenger.Method, params json.RawMessage) error {
	c, ok := network.(*Conn)
	if !ok {
		return messenger.NewRefusal(messenger.ReasonForbidden, "the connection is not authenticated")
	}
	err := Authorize(c.peer, m, params)
	if err != nil {
		s.metrics.messages.Inc()
		s.refused.Do(func() {
			s.settings.Log.Warn().Err(err).Str("Peer", c.RemoteAddr().String()).Msg("message refused")
		})
	}
	return err
}

// count counts a handshake and tells of a refused one.
func (s *Sealer) count(err error, doing, address string) {
	if err == nil {
		s.metrics.handshakes.WithLabelValues(outcomeAccepted).Inc()
		return
	}
	s.metrics.handshakes.WithLabelValues(outcomeRefused).Inc()
	s.refused.Do(func() {
		s.settings.Log.Warn().Err(err).Str("Peer", address).Msg(doing + ": handshake failed")
	})
}
