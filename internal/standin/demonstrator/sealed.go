package demonstrator

import (
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// certificatesFolder stands beside the data folders.
const certificatesFolder = "certificates"

// authority signs the certificates of a deployment's processes.
type authority struct {
	*sealer.Authority
	folder string
}

// file returns the path of a file in the folder of the certificates.
func (a *authority) file(name string) string { return filepath.Join(a.folder, name) }

// startAuthority makes the authority of a sealed deployment.
func (d *Deployment) startAuthority() error {
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

// certify gives a process of a sealed deployment its certificate. Called again it
// replaces the certificate.
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
