package sealer

import (
	"crypto/x509"
	"net/url"
	"slices"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// scheme is the scheme of the URI names.
const scheme = "marigoldpoint"

// roles are all roles that a certificate may contain.
var roles = [...]configurer.Role{configurer.RoleEntry, configurer.RoleCompanion, configurer.RoleControl}

// Identity identifies a process, by its certificate.
type Identity struct {
	// Node is the process's name; a companion's is also that of its backend server.
	Node string
	// Roles are the roles of the process; never empty, without duplicates.
	Roles []configurer.Role
}

// Has reports whether the process has role r.
func (i Identity) Has(r configurer.Role) bool { return slices.Contains(i.Roles, r) }

// String returns the URI names of the identity, separated by spaces.
func (i Identity) String() string {
	names := make([]string, 0, len(i.Roles))
	for _, u := range i.uris() {
		names = append(names, u.String())
	}
	return strings.Join(names, " ")
}

// uris returns the URI names of the identity.
func (i Identity) uris() []*url.URL {
	names := make([]*url.URL, 0, len(i.Roles))
	for _, r := range i.Roles {
		names = append(names, &url.URL{Scheme: scheme, Host: strings.ToLower(r.String()), Path: "/" + i.Node})
	}
	return names
}

// IdentityOf returns the identity in a certificate. URI names of other schemes are ignored.
// Two nodes in one certificate are an error, since each could then act for the other.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	var i Identity
	for _, u := range c.URIs {
		if u.Scheme != scheme {
			continue
		}
		role, node, err := parseName(u)
		if err != nil {
			return Identity{}, err
		}
		if i.Node != "" && i.Node != node {
			return Identity{}, errors.NotValidf("certificate of two nodes, %q and %q", i.Node, node)
		}
		i.Node = node
		if !i.Has(role) {
			i.Roles = append(i.Roles, role)
		}
	}
	if i.Node == "" {
		return Identity{}, errors.NotValidf("certificate without a name %s://ROLE/NODE", scheme)
	}
	return i, nil
}

// parseName parses a URI name. The role is in the place of the host, which is
// case-insensitive.
func parseName(u *url.URL) (configurer.Role, string, error) {
	node := strings.TrimPrefix(u.Path, "/")
	if node == "" || strings.Contains(node, "/") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return 0, "", errors.NotValidf("name %q in a certificate", u)
	}
	for _, r := range roles {
		if strings.EqualFold(u.Host, r.String()) {
			return r, node, nil
		}
	}
	return 0, "", errors.NotValidf("role in the name %q in a certificate", u)
}
