package configurer

// PeersSettings name the files by which the system's processes prove to each
// other who they are. All are given, or none: without them, whoever reaches a
// messenger listener may do all that a process may.
type PeersSettings struct {
	// CertificateFile is the absolute path of this process's certificate in PEM,
	// with those between it and the authority after it.
	CertificateFile string

	// KeyFile is the absolute path of the certificate's key in PEM, which only
	// its owner and group may read.
	KeyFile string

	// AuthorityFile is the absolute path of the certificates in PEM of the
	// authority that signs all processes' certificates.
	AuthorityFile string
}

// Given reports whether the files are named.
func (p PeersSettings) IsSet() bool { return p != PeersSettings{} }

// peers checks that all files are named, or none.
func (c *checker) peers(p PeersSettings) {
	if !p.IsSet() {
		return
	}
	c.path("Peers.CertificateFile", p.CertificateFile)
	c.path("Peers.KeyFile", p.KeyFile)
	c.path("Peers.AuthorityFile", p.AuthorityFile)
}
