package sealer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// material holds the parsed certificate, key and authority of a process. It is immutable.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	identity    Identity
}

// stamp identifies a version of a file, by its modification time in Unix nanoseconds and
// its size in bytes.
type stamp struct {
	modified int64
	size     int64
}

// stamps are the stamps of the certificate, key and authority files, in this order.
type stamps [3]stamp

func stampsOf(files configurer.PeersSettings) (s stamps, err error) {
	for i, path := range [...]string{files.CertificateFile, files.KeyFile, files.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps{}, errors.Trace(err)
		}
		s[i] = stamp{modified: info.ModTime().UnixNano(), size: info.Size()}
	}
	return s, nil
}

// load reads the files and checks that they match each other. Without these checks, peers
// would reject the certificate, and only their logs would show it.
func load(files configurer.PeersSettings, now time.Time) (*material, error) {
	key, err := configurer.ReadSecret(files.KeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	certificate, err := os.ReadFile(files.CertificateFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &material{authority: x509.NewCertPool()}
	if m.certificate, err = tls.X509KeyPair(certificate, []byte(key.Reveal())); err != nil {
		return nil, errors.Annotatef(err, "%s with its key", files.CertificateFile)
	}
	if !m.authority.AppendCertsFromPEM(authority) {
		return nil, errors.NotValidf("%s: an authority without a certificate", files.AuthorityFile)
	}
	if m.identity, err = IdentityOf(m.certificate.Leaf); err != nil {
		return nil, errors.Annotate(err, files.CertificateFile)
	}
	chain, err := chainOf(m.certificate)
	if err != nil {
		return nil, errors.Annotate(err, files.CertificateFile)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		if err := m.verify(chain, usage, now); err != nil {
			return nil, errors.Annotate(err, files.CertificateFile)
		}
	}
	return m, nil
}

// chainOf parses a process's certificate and the intermediate certificates between it and
// the authority.
func chainOf(c tls.Certificate) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(c.Certificate))
	for _, der := range c.Certificate {
		parsed, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, errors.Trace(err)
		}
		chain = append(chain, parsed)
	}
	return chain, nil
}

// verify checks that the chain's first certificate is signed by the authority, directly or
// through the chain's other certificates, and is valid for usage at the time now.
func (m *material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return errors.NotValidf("peer without a certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: m.authority, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Trace(err)
}
