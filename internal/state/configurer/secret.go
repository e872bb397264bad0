package configurer

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/juju/errors"
)

// redacted stands in place of a secret wherever one would be printed.
const redacted = "REDACTED"

// maxSecretBytes is the size of the largest file that holds a secret.
const maxSecretBytes = 4096

// othersMay are the file modes that open a secret to others than its owner and,
// for reading, its group.
const othersMay fs.FileMode = 0o027

// Secret is a text that never shows in logs, messages or JSON.
type Secret struct {
	// reveal returns the text; nil for the empty secret. The text hides in a
	// function, since fmt prints the unexported fields of a struct around it
	// without asking for its methods.
	reveal func() string
}

// NewSecret returns a secret with the given text.
func NewSecret(text string) Secret {
	return Secret{reveal: func() string { return text }}
}

// Reveal returns the text of s.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// String returns a text that doesn't depend on s.
func (s Secret) String() string {
	return redacted
}

// Format writes what String returns, whatever the verb.
func (s Secret) Format(f fmt.State, _ rune) {
	io.WriteString(f, redacted) //nolint:errcheck // a fmt.State keeps its own errors
}

// MarshalText returns what String returns, for encoding/json too.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// ReadSecret reads the secret in the file at path, without white space around
// it. It refuses a file that others on the host may read, or that its group may
// change: whoever copies such a key can do all that its owner can, and nothing
// would show it.
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
	case m.Perm()&othersMay != 0:
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
