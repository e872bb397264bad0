package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of ports from the first one. The first five are the project's own range.
const (
	offsetControl = 5 + iota
	offsetFront
	offsetReady
	offsetApp
	offsetEnd
)

const (
	heartbeatMs  = 1200
	startTimeout = 30 * time.Second
)

// lab is a small deployment with its record. Each machine has its own loopback address.
type lab struct {
	folder string
	// network is the prefix of the machines' addresses, and port the first port.
	network string
	port    int
	client  *http.Client

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*process
	closed    bool
	seeds     []string
	// restarted means that the processes that start now don't start with the whole system.
	restarted bool
	closers   []func()
}

// process is a process of the project.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func newLab(recordPath string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{folder: folder, record: record, began: time.Now(), client: &http.Client{Timeout: time.Second}}
	return l, l.findPorts()
}

// findPorts chooses a loopback network and a range of ports that are free on its machines.
func (l *lab) findPorts() error {
	for range 100 {
		l.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		l.port = 20000 + rand.IntN(10000)
		free := true
		for host := 1; host <= 40 && free; host++ {
			for offset := range offsetEnd {
				s, err := net.Listen("tcp", l.address(host, offset))
				if err != nil {
					free = false
					break
				}
				_ = s.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (l *lab) ip(host int) string { return fmt.Sprint(l.network, host) }

func (l *lab) address(host, offset int) string {
	return fmt.Sprintf("%s%d:%d", l.network, host, l.port+offset)
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// close ends all processes and stand-ins. Only the first call has an effect.
func (l *lab) close() {
	l.mu.Lock()
	processes, closers := l.processes, l.closers
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	for _, f := range closers {
		f()
	}
	for _, p := range processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	_ = os.RemoveAll(l.folder)
	_ = l.record.Close()
}

// deployCommand returns the command of the deploy file. All roles run the same one.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// settings returns the settings of a process, like those of the pages' small deployments.
func (l *lab) settings(serves string, host int) map[string]any {
	s := map[string]any{
		"nodeName": fmt.Sprintf("%s-%d", serves, host), "role": serves, "machineClass": serves, "serves": []string{serves},
		"ip": l.ip(host), "zone": "catania-a", "region": "sicilia-est", "zones": map[string]string{"catania-a": "sicilia-est"},
		"portRange": []int{l.port, l.port + 4}, "seeds": l.seeds, "bootstrap": !l.restarted, "inTolerance": serves == "control",
		"discovery": "registration", "entry": "vip", "heartbeatMs": heartbeatMs, "configMode": "highest",
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"limits":         map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingRequired": true,
			"leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000,
		},
	}
	switch serves {
	case "control":
		s["dataDir"] = filepath.Join(l.folder, fmt.Sprintf("data-%d", host))
		s["listen"] = map[string]string{"control": l.address(host, offsetControl)}
	case "side":
		s["app"] = l.address(host, offsetApp)
		s["listen"] = map[string]string{}
	case "front":
		s["listen"] = map[string]string{"front": l.address(host, offsetFront), "ready": l.address(host, offsetReady)}
	}
	return s
}

// start starts a process of the project with the command of the deploy file. Its settings are
// rendered by the template of the deploy file, which is a comment and all fields as JSON.
func (l *lab) start(serves string, host int) (*process, error) {
	words, err := deployCommand()
	if err != nil {
		return nil, err
	}
	settings := l.settings(serves, host)
	if folder, ok := settings["dataDir"].(string); ok {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.folder, fmt.Sprintf("%s-%d.jsonc", serves, host))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(l.folder, fmt.Sprintf("%s-%d.log", serves, host)))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDPOINT_CONFIG=" + path}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("%s-%d", serves, host), command: c, ended: make(chan struct{})}
	go func() {
		err := c.Wait()
		l.note("process %s ended: %v", p.name, err)
		close(p.ended)
	}()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	l.note("process %s started", p.name)
	return p, nil
}

// log returns the log of a process.
func (l *lab) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(l.folder, name+".log"))
	return string(text)
}

// startAll starts control on machines 1 to 3, entries and companions, and waits for the entries.
func (l *lab) startAll(fronts, sides []int) error {
	l.seeds = nil
	for host := 1; host <= 3; host++ {
		l.seeds = append(l.seeds, l.address(host, offsetControl))
	}
	for host := 1; host <= 3; host++ {
		if _, err := l.start("control", host); err != nil {
			return err
		}
	}
	for _, host := range sides {
		if _, err := l.start("side", host); err != nil {
			return err
		}
	}
	for _, host := range fronts {
		if _, err := l.start("front", host); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until an entry is ready.
func (l *lab) awaitReady(host int) error {
	return wait(fmt.Sprintf("entry %d", host), func() bool {
		r, err := l.client.Get("http://" + l.address(host, offsetReady) + "/readiness")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

func wait(what string, f func() bool) error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("%s: not ready in time", what)
}

// putControl sends a call of the operator or a worker to control until a host accepts it, and
// returns the last status.
func (l *lab) putControl(method, path string, body any) int {
	text, _ := json.Marshal(body)
	status := 0
	for try := range 100 {
		status = l.sendControl(1+(rand.IntN(3)+try)%3, method, path, text)
		if status != 0 && status < 500 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// sendControl sends one call to a control host and returns its status; 0 means no answer.
func (l *lab) sendControl(host int, method, path string, text []byte) int {
	r, err := http.NewRequest(method, "http://"+l.address(host, offsetControl)+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := l.client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// configure sends a configuration and waits for its acknowledgement.
func (l *lab) configure(version int, routes, services []any) error {
	status := l.putControl(http.MethodPut, "/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	l.note("configuration %d: %d", version, status)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d", version, status)
	}
	return nil
}

// beat sends heartbeats of a worker until the lab closes. The body is made anew for each.
func (l *lab) beat(id string, body func(seq int) map[string]any) {
	stop := make(chan struct{})
	l.onClose(func() { close(stop) })
	go func() {
		for seq := 1; ; seq++ {
			l.putControl(http.MethodPut, "/instances/"+id, body(seq))
			select {
			case <-stop:
				return
			case <-time.After(heartbeatMs * time.Millisecond):
			}
		}
	}()
}
