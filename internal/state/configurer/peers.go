package configurer

// PeersSettings name the files for the mutual authentication of the processes. Either all
// files are set or none. Without them, any client that can reach a messenger listener has
// the rights of a process.
type PeersSettings struct {
	// CertificateFile is the absolute path of the certificate of this process in PEM,
	// followed by the intermediate certificates.
	CertificateFile string

	// KeyFile is the absolute path of the certificate's private key in PEM. Only its
	// owner and group may have read permission.
	KeyFile string

	// AuthorityFile is the absolute path of the PEM file with the certificates of the
	// authority that signs the certificates of all processes.
	AuthorityFile string
}

// IsSet reports whether any of the files is set.
func (p PeersSettings) IsSet() bool { return p != PeersSettings{} }

// peers checks that either all files are set or none.
func (c *checker) peers(p PeersSettings) {
	if !p.IsSet() {
		return
	}
	c.path("Peers.CertificateFile", p.CertificateFile)
	c.path("Peers.KeyFile", p.KeyFile)
	c.path("Peers.AuthorityFile", p.AuthorityFile)
}
