package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// programVariable makes the test binary run as the program.
	programVariable = "MARIGOLDPOINT_TEST_RUN"
	// otherProgramVariable is the path of a program to run instead, such as one of an earlier revision.
	otherProgramVariable = "MARIGOLDPOINT_TEST_PROGRAM"
	// startTimeout bounds each wait for the process.
	startTimeout = 20 * time.Second
	testKey      = "a-key-of-the-clients-tests"
)

// TestMain runs the tests, or the program if a test has started the binary as it.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(run(os.Args[1:], io.Discard, os.Stderr))
	}
	os.Exit(m.Run())
}

// served is a process with an entry and a control host.
type served struct {
	process          *exec.Cmd
	entry, operators string
}

// serve starts a process whose host has the given memory, half of which is the limit of the Go runtime. It
// is killed when the test ends.
func serve(t *testing.T, memoryMb int) *served {
	t.Helper()
	g := NewWithT(t)
	const per = 250
	host := fmt.Sprintf("127.%d.%d.251", 1+os.Getpid()/per%per, os.Getpid()%per)
	s := &served{entry: host + ":8101", operators: "127.0.0.1:" + freePort(t)}
	peers := host + ":8102"
	folder := t.TempDir()
	text, err := json.Marshal(map[string]any{
		"Node": "entry-1", "Region": "r", "FailureDomain": "a", "Roles": []string{"Entry", "Control"}, "DataFolder": folder,
		"ControlHosts": []any{map[string]any{"ID": 1, "Address": peers, "FailureDomain": "a", "Region": "r"}},
		"Control":      map[string]any{"Listen": peers, "Group": "clients", "Bootstrap": true},
		"Entry":        map[string]any{"Listen": s.entry, "MaxBodyBytes": "1MiB"},
		"Operators":    map[string]any{"Listen": s.operators},
	})
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(folder, "settings.jsonc")
	g.Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	program := os.Args[0]
	if other := os.Getenv(otherProgramVariable); other != "" {
		program = other
	}
	s.process = exec.CommandContext(context.Background(), program, "serve", "--settings", file)
	s.process.Env = append(os.Environ(), programVariable+"=1", fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMb/2))
	s.process.Stderr = os.Stderr
	// The process ends with the test, also if the test is killed.
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.Expect(s.process.Start()).To(Succeed())
	t.Cleanup(func() {
		g.Expect(s.process.Process.Kill()).To(Succeed())
		// A process that was killed has no exit status of 0.
		_ = s.process.Wait()
	})
	for path, spec := range map[string]string{"": `{"Spec":{}}`, "/keys/k": `{"Spec":{"Secret":"` + testKey + `"}}`} {
		g.Eventually(func() int {
			return status(http.MethodPut, "http://"+s.operators+"/api/v1/workspaces/w"+path, spec)
		}, startTimeout).Should(BeElementOf(http.StatusOK, http.StatusCreated))
	}
	g.Eventually(s.ordinary, startTimeout).Should(Equal(http.StatusOK))
	return s
}

// ordinary sends an ordinary request on a connection of its own, and returns its status.
func (s *served) ordinary() int { return status(http.MethodGet, "http://"+s.entry+"/v1/models", "") }

// status sends a request on a connection of its own and returns the status, 0 if it fails.
func status(method, url, body string) int {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Timeout: startTimeout / 4, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// freePort returns a port that is free.
func freePort(t *testing.T) string {
	t.Helper()
	network, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer network.Close()
	_, port, _ := strings.Cut(network.Addr().String(), ":")
	return port
}
