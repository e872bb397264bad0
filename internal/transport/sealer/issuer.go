package sealer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// The default validities of the command.
const (
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	DefaultNodeValidity      = 90 * 24 * time.Hour
)

// backdate is how long before its issue a certificate becomes valid, since the clocks of
// other hosts may be behind.
const backdate = 5 * time.Minute

// The file modes and PEM types.
const (
	certificateMode os.FileMode = 0o644
	keyMode         os.FileMode = 0o600
	certificateKind             = "CERTIFICATE"
	keyKind                     = "PRIVATE KEY"
)

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         configurer.Secret
}

// Write writes the pair to two files. Each is replaced atomically, so that a concurrent
// reader gets the old or the new contents, never a part. The key is written first, so that
// once the certificate is new both are.
func (p KeyPair) Write(certificateFile, keyFile string) error {
	if err := replaceFile(keyFile, []byte(p.Key.Reveal()), keyMode); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(replaceFile(certificateFile, p.Certificate, certificateMode))
}

func replaceFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = f.Write(data)
	for _, step := range []func() error{
		func() error { return f.Chmod(mode) }, f.Sync, f.Close,
		func() error { return os.Rename(f.Name(), path) },
	} {
		if err == nil {
			err = step()
		}
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(f.Name()) // The first error is the useful one.
	}
	return errors.Trace(err)
}

// Authority signs the certificates of a deployment's processes.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates an authority that is valid from now for the given time. The returned
// pair holds its certificate and key.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, KeyPair{}, errors.Trace(err)
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validity),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	a := &Authority{certificate: template, key: key}
	der, pair, err := a.sign(template, key)
	if err != nil {
		return nil, KeyPair{}, errors.Trace(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, KeyPair{}, errors.Trace(err)
	}
	return a, pair, nil
}

// ReadAuthority reads an authority from its files. The first certificate in the file is the
// one to sign with; others may follow it during a rotation.
func ReadAuthority(certificateFile, keyFile string) (*Authority, error) {
	key, err := configurer.ReadSecret(keyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	certificate, err := os.ReadFile(certificateFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pair, err := tls.X509KeyPair(certificate, []byte(key.Reveal()))
	if err != nil {
		return nil, errors.Annotatef(err, "%s with its key", certificateFile)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.NotValidf("%s: an authority that can't sign", certificateFile)
	}
	return &Authority{certificate: pair.Leaf, key: signer}, nil
}

// Issue creates a certificate for a process, valid from now for the given time. It fails if
// the identity is invalid, or if the certificate would outlast the authority's.
func (a *Authority) Issue(i Identity, now time.Time, validity time.Duration) (KeyPair, error) {
	names := i.uris()
	if read, err := IdentityOf(&x509.Certificate{URIs: names}); err != nil || read.Node != i.Node {
		return KeyPair{}, errors.NotValidf("identity of the node %q with the roles %v", i.Node, i.Roles)
	}
	notAfter := now.Add(validity)
	if notAfter.After(a.certificate.NotAfter) {
		return KeyPair{}, errors.NotValidf("certificate until %v from an authority that ends at %v", notAfter.UTC(), a.certificate.NotAfter)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	_, pair, err := a.sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: i.Node},
		URIs:        names,
		NotBefore:   now.Add(-backdate),
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, key)
	return pair, errors.Trace(err)
}

// sign creates the certificate of a key, and returns it in DER and as a pair.
func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, KeyPair{}, errors.Trace(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, KeyPair{}, errors.Trace(err)
	}
	return der, KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateKind, Bytes: der}),
		Key:         configurer.NewSecret(string(pem.EncodeToMemory(&pem.Block{Type: keyKind, Bytes: encoded}))),
	}, nil
}
