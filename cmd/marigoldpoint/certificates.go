package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// certificatesCommand groups the commands that create certificates.
type certificatesCommand struct {
	Authority *authorityCommand       `arg:"subcommand:authority" help:"make the authority of a deployment"`
	Node      *nodeCertificateCommand `arg:"subcommand:node" help:"make the certificate of one process"`
}

// keyPairArguments are the paths of the files to write.
type keyPairArguments struct {
	Certificate string `arg:"required" placeholder:"FILE" help:"file for the certificate"`
	Key         string `arg:"required" placeholder:"FILE" help:"file for its key, which only its owner may read"`
}

// authorityCommand creates a certificate authority.
type authorityCommand struct {
	keyPairArguments
	Name     string        `default:"marigoldpoint" help:"name of the authority"`
	Validity time.Duration `default:"87600h" help:"time for which it is valid"`
}

func (c *authorityCommand) run(_ context.Context, out io.Writer) error {
	// Existing files are not overwritten: the processes of a deployment would reject
	// certificates issued by an authority that replaced the one in use.
	for _, path := range []string{c.Certificate, c.Key} {
		if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
			return usageError{errors.AlreadyExistsf("%s", path)}
		}
	}
	if err := checkValidity(c.Validity); err != nil {
		return err
	}
	now := time.Now()
	_, pair, err := sealer.NewAuthority(c.Name, now, c.Validity)
	if err != nil {
		return err
	}
	return c.write(out, pair, now.Add(c.Validity))
}

// nodeCertificateCommand issues the certificate of a process.
type nodeCertificateCommand struct {
	keyPairArguments
	Authority    string            `arg:"required" placeholder:"FILE" help:"certificate of the authority"`
	AuthorityKey string            `arg:"--authority-key,required" placeholder:"FILE" help:"key of the authority"`
	Node         string            `arg:"required" placeholder:"NAME" help:"Node in the process's settings"`
	Roles        []configurer.Role `arg:"required" placeholder:"ROLE" help:"Roles in the process's settings: Entry, Companion, Control"`
	Validity     time.Duration     `default:"2160h" help:"time for which it is valid"`
}

func (c *nodeCertificateCommand) run(_ context.Context, out io.Writer) error {
	if err := checkValidity(c.Validity); err != nil {
		return err
	}
	authority, err := sealer.ReadAuthority(c.Authority, c.AuthorityKey)
	if err != nil {
		return usageError{err}
	}
	now := time.Now()
	pair, err := authority.Issue(sealer.Identity{Node: c.Node, Roles: c.Roles}, now, c.Validity)
	if err != nil {
		return usageError{err}
	}
	return c.write(out, pair, now.Add(c.Validity))
}

func checkValidity(d time.Duration) error {
	if d <= 0 {
		return usageError{errors.NotValidf("validity %v", d)}
	}
	return nil
}

// write writes a key pair to its files and prints their paths and the end of validity.
func (a keyPairArguments) write(out io.Writer, pair sealer.KeyPair, until time.Time) error {
	if err := pair.Write(a.Certificate, a.Key); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s and %s, valid until %s\n", a.Certificate, a.Key, until.UTC().Format(time.RFC3339))
	return errors.Trace(err)
}
