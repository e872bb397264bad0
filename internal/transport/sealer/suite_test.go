package sealer_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestSealer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sealer")
}

// deployment is an authority and the folder of its files.
type deployment struct {
	authority *sealer.Authority
	root      sealer.KeyPair
	folder    string
	writes    int
}

func newDeployment(folder, name string) *deployment {
	GinkgoHelper()
	a, root, err := sealer.NewAuthority(name, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	return &deployment{authority: a, root: root, folder: folder}
}

func (d *deployment) files(node string) configurer.PeersSettings {
	return configurer.PeersSettings{
		CertificateFile: filepath.Join(d.folder, node+".pem"),
		KeyFile:         filepath.Join(d.folder, node+".key"),
		AuthorityFile:   filepath.Join(d.folder, node+"-authority.pem"),
	}
}

func (d *deployment) issue(node string, validity time.Duration, roles ...configurer.Role) sealer.KeyPair {
	GinkgoHelper()
	p, err := d.authority.Issue(sealer.Identity{Node: node, Roles: roles}, time.Now(), validity)
	Expect(err).NotTo(HaveOccurred())
	return p
}

// write writes a file with a modification time later than that of the previous one, since
// two writes of a test may fall into one tick of the file system's clock.
func (d *deployment) write(path string, data []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	d.writes++
	later := time.Now().Add(time.Duration(d.writes) * time.Second)
	Expect(os.Chtimes(path, later, later)).To(Succeed())
}

// put writes all files of a node, which trusts its own authority and those of others.
func (d *deployment) put(node string, p sealer.KeyPair, others ...*deployment) {
	GinkgoHelper()
	trusted := d.root.Certificate
	for _, o := range others {
		trusted = append(append([]byte{}, trusted...), o.root.Certificate...)
	}
	files := d.files(node)
	d.write(files.AuthorityFile, trusted)
	d.write(files.KeyFile, []byte(p.Key.Reveal()))
	d.write(files.CertificateFile, p.Certificate)
}

// seal returns the sealer of a node with a new certificate.
func (d *deployment) seal(node string, now func() time.Time, roles ...configurer.Role) *sealer.Sealer {
	GinkgoHelper()
	d.put(node, d.issue(node, time.Hour/2, roles...))
	s, err := sealer.NewSealer(sealer.Settings{Files: d.files(node), Node: node, Roles: roles, Now: now})
	Expect(err).NotTo(HaveOccurred())
	return s
}
