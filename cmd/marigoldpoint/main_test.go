package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against scripts that continue after a mistyped command or an invalid settings
// file, because the program prints an error but exits with the code of success or of a
// failed run.
func TestExitCodes(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "wrong.jsonc")
	NewWithT(t).Expect(os.WriteFile(wrong, []byte("{ \"Nodes\": 1 }"), 0o600)).To(Succeed())
	calls := filepath.Join("..", "..", "internal", "state", "explainer", "testdata", "calls.log")
	for _, c := range []struct {
		args          []string
		code          int
		stderrPattern string
	}{
		{[]string{"--version"}, exitOK, "^$"},
		{[]string{"--help"}, exitOK, "^$"},
		{[]string{"demo", "--help"}, exitOK, "^$"},
		{[]string{"bogus"}, exitUsage, "^marigoldpoint: .*bogus\n$"},
		{[]string{"demo", "--bogus"}, exitUsage, "^marigoldpoint demo: .*bogus\n$"},
		{[]string{"demo", "--policy", "Bogus"}, exitUsage, "Bogus"},
		{[]string{"serve", "--settings", wrong}, exitUsage, "wrong.jsonc:1:.*Nodes"},
		{[]string{"serve", "--settings", filepath.Join("..", "..", "examples", "peachtree", "entry-a.jsonc"), "--listen", "127.0.0.1:1=127.0.0.1:2"}, exitUsage, "127.0.0.1:1.*not valid"},
		{[]string{"settings", "check", wrong}, exitUsage, "wrong.jsonc:1:.*Nodes"},
		{[]string{"resource"}, exitUsage, "Usage"},
		{[]string{"model", "--pattern", "Bogus"}, exitUsage, "Bogus.*PowerLoss"},
		{[]string{"model", "--without", "Bogus"}, exitUsage, "Bogus.*Pacing"},
		{[]string{"model", "--seeds", "0"}, exitUsage, "seeds"},
		{[]string{"model", "--seeds", "1", "--pattern", "FewServers"}, exitOK, "^$"},
		{[]string{"route", "--entry", "127.0.0.1:1", "--path", "/x"}, exitUsage, "HOST is required"},
		{[]string{"route", "--entry", "nowhere", "--host", "h", "--path", "/x"}, exitUsage, "IP:PORT"},
		{[]string{"route", "--entry", "127.0.0.1:1", "--host", "h", "--path", "x"}, exitUsage, "path \"x\""},
		{[]string{"route", "--entry", "127.0.0.1:1", "--host", "h", "--path", "/x"}, exitFailed, "refused"},
		{[]string{"explain", "--bogus", wrong}, exitUsage, "^marigoldpoint explain: .*bogus\n$"},
		{[]string{"explain", filepath.Join(t.TempDir(), "none.log")}, exitUsage, "none.log"},
		{[]string{"explain", wrong}, exitUsage, "no log lines"},
		{[]string{"explain", calls}, exitOK, "^$"},
		{[]string{"explain", "--request", "r5", calls}, exitOK, "^$"},
		{[]string{"explain", "--request", "none", calls}, exitUsage, "no line of request none"},
	} {
		g := NewWithT(t)
		var out, stderr bytes.Buffer
		g.Expect(run(c.args, &out, &stderr)).To(Equal(c.code), "%v: %s", c.args, &stderr)
		g.Expect(stderr.String()).To(MatchRegexp(c.stderrPattern), "%v", c.args)
	}
}
