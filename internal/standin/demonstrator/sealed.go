package demonstrator

import (
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// certificatesFolder is the name of the folder, next to the data folders, that
// holds certificates and keys.
const certificatesFolder = "certificates"

// authority signs the certificates of a deployment's processes and writes them to
// a folder.
type authority struct {
	*sealer.Authority
	folder string
}

// file returns the path of a file in the certificates' folder.
func (a *authority) file(name string) string { return filepath.Join(a.folder, name) }

// createAuthority creates the certificate authority if the deployment is sealed.
func (d *Deployment) createAuthority() error {
	if !d.settings.Sealed {
		return nil
	}
	folder, err := filepath.Abs(filepath.Join(d.settings.Folder, certificatesFolder))
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Trace(err)
	}
	made, pair, err := sealer.NewAuthority("demo", time.Now(), sealer.DefaultAuthorityValidity)
	if err != nil {
		return errors.Trace(err)
	}
	d.authority = &authority{made, folder}
	return pair.Write(d.authority.file("authority.pem"), d.authority.file("authority.key"))
}

// certify issues a certificate for a process and sets its file names in c, if the
// deployment is sealed. A further call replaces the certificate.
func (d *Deployment) certify(c *configurer.Settings) error {
	if d.authority == nil {
		return nil
	}
	pair, err := d.authority.Issue(sealer.Identity{Node: c.Node, Roles: c.Roles}, time.Now(), sealer.DefaultNodeValidity)
	if err != nil {
		return errors.Trace(err)
	}
	c.Peers = configurer.PeersSettings{
		CertificateFile: d.authority.file(c.Node + ".pem"),
		KeyFile:         d.authority.file(c.Node + ".key"),
		AuthorityFile:   d.authority.file("authority.pem"),
	}
	return pair.Write(c.Peers.CertificateFile, c.Peers.KeyFile)
}
