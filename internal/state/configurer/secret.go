package configurer

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/juju/errors"
)

// redactedText is printed in place of a secret.
const redactedText = "REDACTED"

// maxSecretBytes is the maximum size of a file with a secret.
const maxSecretBytes = 4096

// forbiddenModes are the permissions that a file with a secret must not have: the owner
// has full access, the group may only read, and others have no access.
const forbiddenModes fs.FileMode = 0o027

// Secret is a text that never appears in logs, messages or JSON.
type Secret struct {
	// reveal returns the text; it is nil for the empty secret. The text is stored in a
	// closure, since fmt prints unexported fields of an enclosing struct without
	// calling their methods.
	reveal func() string
}

// NewSecret returns a secret with the given text.
func NewSecret(text string) Secret {
	return Secret{reveal: func() string { return text }}
}

// Reveal returns the text of s. It is the only way to read it.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// String returns a fixed text that does not depend on s.
func (s Secret) String() string {
	return redactedText
}

// Format implements fmt.Formatter. It writes the result of String for every verb.
func (s Secret) Format(f fmt.State, _ rune) {
	io.WriteString(f, redactedText) //nolint:errcheck // Format can't return an error.
}

// MarshalText returns the result of String. It also covers encoding/json.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redactedText), nil
}

// ReadSecret reads the secret from the file at path, without leading and trailing white
// space. It refuses a file that other users of the host may read or that its group may
// write: a copied key gives all rights of its owner, and its use can't be detected.
func ReadSecret(path string) (Secret, error) {
	f, err := os.Open(path)
	if err != nil {
		return Secret{}, errors.Trace(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return Secret{}, errors.Trace(err)
	}
	switch m := info.Mode(); {
	case !m.IsRegular():
		return Secret{}, errors.NotValidf("%s: a secret that is no regular file", path)
	case m.Perm()&forbiddenModes != 0:
		return Secret{}, errors.NotValidf("%s: a secret with mode %04o (take 0600 or 0640)", path, m.Perm())
	case info.Size() > maxSecretBytes:
		return Secret{}, errors.NotValidf("%s: a secret of more than %d bytes", path, maxSecretBytes)
	}
	data, err := io.ReadAll(io.LimitReader(f, maxSecretBytes))
	if err != nil {
		return Secret{}, errors.Trace(err)
	}
	text := strings.TrimSpace(string(data))
	if text == "" {
		return Secret{}, errors.NotValidf("%s: an empty secret", path)
	}
	return NewSecret(text), nil
}
