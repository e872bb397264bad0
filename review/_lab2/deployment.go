package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment of separate processes on loopback addresses.
type deployment struct {
	folder  string
	program string
	self    string
	port    int

	mu       sync.Mutex
	record   *os.File
	children map[int]*exec.Cmd
	// onLine receives what workers report.
	onLine   func(name string, fields []string)
	controls []string
	fronts   []string
	version  int
	began    time.Time
}

func (d *deployment) note(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f ", time.Since(d.began).Seconds())
	fmt.Fprintf(d.record, format+"\n", a...)
}

// newDeployment creates a temporary folder and finds free ports.
func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "marigoldpoint-review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/marigoldpoint")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, self: self, record: record, children: make(map[int]*exec.Cmd), began: time.Now()}
	for port := 21000 + os.Getpid()%20000; port < 60000; port += 64 {
		if d.free(port) {
			d.port = port
			d.stopOnSignal()
			return d, nil
		}
	}
	return nil, errors.New("no free ports")
}

// stopOnSignal ends all processes if this one is told to end.
func (d *deployment) stopOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		d.stop(false)
		os.Exit(2)
	}()
}

// ip returns the loopback address of a machine. Runs at the same time have addresses of their own.
func ip(class, n int) string { return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, class, n) }

const (
	classCore = iota + 1
	classFront
	classWorker
)

// free reports whether the ports from first on are free at the addresses of all machines.
func (d *deployment) free(first int) bool {
	for class := classCore; class <= classWorker; class++ {
		for n := 1; n <= 7; n++ {
			for port := first; port < first+24; port++ {
				l, err := net.Listen("tcp", net.JoinHostPort(ip(class, n), strconv.Itoa(port)))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (d *deployment) at(class, n, offset int) string {
	return net.JoinHostPort(ip(class, n), strconv.Itoa(d.port+offset))
}

// Offsets of ports; the first sixteen are the product's own.
const (
	portService = 16 + iota
	portReady
	portMetrics
)

func (d *deployment) settings(name, class string, address string) map[string]any {
	return map[string]any{
		"nodeName": name, "role": class, "machineClass": class, "ip": address, "zone": "zone-a", "region": "region-a",
		"portRange": []int{d.port, d.port + 15}, "seeds": d.controls, "bootstrap": true, "inTolerance": false,
		"discovery": "registration", "entry": "vip", "heartbeatMs": 1200, "configMode": "highest",
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"zones":          map[string]string{"zone-a": "region-a"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 58, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingRequired": true,
			"leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000,
		},
	}
}

// startCore starts the control hosts and fronts.
func (d *deployment) start(fronts int) error {
	for n := 1; n <= 3; n++ {
		d.controls = append(d.controls, d.at(classCore, n, portService))
	}
	for n := 1; n <= 3; n++ {
		s := d.settings(fmt.Sprintf("core-%d", n), "core", ip(classCore, n))
		data := filepath.Join(d.folder, fmt.Sprintf("core-%d", n))
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		s["serves"], s["dataDir"] = []string{"control"}, data
		s["listen"] = map[string]string{"control": d.at(classCore, n, portService)}
		s["limits"] = map[string]any{"cpuShare": 0.96, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
		if err := d.platform(s); err != nil {
			return err
		}
	}
	for n := 1; n <= fronts; n++ {
		s := d.settings(fmt.Sprintf("front-%d", n), "front", ip(classFront, n))
		s["serves"] = []string{"front"}
		s["listen"] = map[string]string{"front": d.at(classFront, n, portService), "ready": d.at(classFront, n, portReady)}
		s["limits"] = map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
		if err := d.platform(s); err != nil {
			return err
		}
		d.fronts = append(d.fronts, d.at(classFront, n, portService))
	}
	return nil
}

// companion starts the process beside the model worker of a machine.
func (d *deployment) companion(n int) error {
	s := d.settings(fmt.Sprintf("side-%d", n), "side", ip(classWorker, n))
	s["serves"], s["app"] = []string{"side"}, d.at(classWorker, n, portService)
	s["listen"] = map[string]string{"ready": d.at(classWorker, n, portReady)}
	s["limits"] = map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 216, "maxFds": 4096, "linkMbps": 2000.0, "diskMb": 0}
	return d.platform(s)
}

// platform starts one process with the command of the deploy file.
func (d *deployment) platform(s map[string]any) error {
	name := s["nodeName"].(string)
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, name+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(d.program, "platform", "--metrics-port", strconv.Itoa(d.port+portMetrics))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "MARIGOLDPOINT_CONFIG=" + file}
	command.Stdout, command.Stderr = log, log
	return d.launch(name, command)
}

// launch starts a process that ends with this one.
func (d *deployment) launch(name string, command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.children[command.Process.Pid] = command
	d.mu.Unlock()
	d.note("started %s", name)
	return nil
}

// workerProcess is a process of a stand-in worker.
type workerProcess struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func (d *deployment) startWorker(id string, n int, arguments ...string) (*workerProcess, error) {
	arguments = append([]string{"worker", "-id", id, "-address", d.at(classWorker, n, portService), "-controls", strings.Join(d.controls, ",")}, arguments...)
	command := exec.Command(d.self, arguments...)
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := d.launch("worker "+id, command); err != nil {
		return nil, err
	}
	p := &workerProcess{name: id, command: command, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		lines := bufio.NewScanner(pipe)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) < 2 {
				continue
			}
			d.note("worker %s", strings.Join(fields[1:], " "))
			if d.onLine != nil {
				d.onLine(id, fields[1:])
			}
		}
		_ = command.Wait()
	}()
	return p, nil
}

func (p *workerProcess) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// stop ends all processes.
func (d *deployment) stop(keep bool) {
	d.mu.Lock()
	for _, c := range d.children {
		_ = c.Process.Kill()
	}
	d.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if keep {
		fmt.Println("logs in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(version int, routes []map[string]any, services []map[string]any) error {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for try := 0; try < 60; try++ {
		request, err := http.NewRequest(http.MethodPut, "http://"+d.controls[try%len(d.controls)]+"/config", bytes.NewReader(text))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.note("operator: configuration %d acknowledged", version)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// awaitReady waits until all fronts are ready.
func (d *deployment) awaitReady(fronts int) error {
	client := &http.Client{Timeout: time.Second}
	for n := 1; n <= fronts; n++ {
		ready := false
		for try := 0; try < 100 && !ready; try++ {
			response, err := client.Get("http://" + d.at(classFront, n, portReady) + "/readiness")
			if err == nil {
				ready = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			if !ready {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if !ready {
			return fmt.Errorf("front %d is not ready", n)
		}
	}
	return nil
}
