package soaker

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// stopLimit is how long a planned stop may take, beyond the time that the process is frozen
	// meanwhile.
	stopLimit = 30 * time.Second
	// startPause is the time before a process that ended by itself is started again.
	startPause = 200 * time.Millisecond
)

// process keeps one process of the deployment running until it is closed. It is safe for concurrent
// use.
type process struct {
	name string
	// arguments are the program and its arguments, and logPath is the file to which all
	// incarnations write.
	arguments []string
	logPath   string
	findings  *findings
	// done is closed when close is called, and wait waits for the supervisor.
	done chan struct{}
	wait sync.WaitGroup

	mu sync.Mutex
	// command is the running incarnation; nil while there is none. Guarded by mu, as all fields
	// below.
	command *exec.Cmd
	// signalled means that the incarnation was killed or asked to stop, and stoppedAt is when it
	// was asked.
	signalled bool
	stoppedAt time.Time
	// frozen counts the freezes in progress, and frozenTime their lengths since stoppedAt.
	frozen     int
	frozenTime time.Duration
	// pause is the time until the next incarnation starts.
	pause time.Duration
	// starts counts the incarnations.
	starts int
}

// newProcess starts a process.
func newProcess(name string, arguments []string, logPath string, f *findings) (*process, error) {
	p := &process{name: name, arguments: arguments, logPath: logPath, findings: f, done: make(chan struct{})}
	command, err := p.start()
	if err != nil {
		return nil, err
	}
	p.wait.Go(func() { p.supervise(command) })
	return p, nil
}

// start starts an incarnation.
func (p *process) start() (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Clean(p.logPath), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer log.Close()
	command := exec.CommandContext(context.Background(), p.arguments[0], p.arguments[1:]...) //nolint:gosec // The program is this one, with arguments of the soak.
	command.Stdout, command.Stderr = log, log
	// The process ends with the soak, also if the soak is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := command.Start(); err != nil {
		return nil, errors.Annotate(err, p.name)
	}
	p.command, p.signalled, p.frozen, p.frozenTime = command, false, 0, 0
	p.starts++
	return command, nil
}

// supervise waits for the end of each incarnation and starts the next one.
func (p *process) supervise(command *exec.Cmd) {
	for {
		err := command.Wait()
		pause, closing := p.ended(err)
		if closing {
			return
		}
		select {
		case <-p.done:
			return
		case <-time.After(pause):
		}
		if command, err = p.start(); err != nil {
			p.findings.add("%s can't be started: %v", p.name, err)
			return
		}
	}
}

// ended records the end of the incarnation, and returns the time until the next one starts.
func (p *process) ended(err error) (pause time.Duration, closing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = nil
	select {
	case <-p.done:
		return 0, true
	default:
	}
	if !p.signalled {
		p.findings.add("%s ended by itself: %v", p.name, err)
		return startPause, false
	}
	if took := time.Since(p.stoppedAt) - p.frozenTime; !p.stoppedAt.IsZero() && took > stopLimit {
		p.findings.add("the planned stop of %s took %v", p.name, took.Round(time.Millisecond))
	}
	p.stoppedAt = time.Time{}
	return p.pause, false
}

// disturb begins an action, and returns a function that ends it, or nil if nothing is left to do.
func (p *process) disturb(e Event) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	command := p.command
	switch e.Action {
	case Kill:
		p.signalled, p.pause = true, e.Length
		p.signal(command, syscall.SIGKILL)
	case Stop:
		if !p.signalled {
			p.stoppedAt = time.Now()
		}
		p.signalled, p.pause = true, e.Length
		p.signal(command, syscall.SIGTERM)
	case Freeze:
		p.frozen++
		p.signal(command, syscall.SIGSTOP)
		return func() { p.resume(command, e.Length) }
	}
	return nil
}

// resume ends a freeze. The process goes on when its last freeze has ended.
func (p *process) resume(command *exec.Cmd, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != command {
		return
	}
	p.frozenTime += length
	if p.frozen--; p.frozen == 0 {
		p.signal(command, syscall.SIGCONT)
	}
}

// signal sends a signal to an incarnation that has not been waited for. The caller holds mu.
func (p *process) signal(command *exec.Cmd, s syscall.Signal) {
	// An error means that the incarnation has ended.
	_ = command.Process.Signal(s)
}

// startCount returns the number of incarnations.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// kill ends the process for good and waits for it.
func (p *process) kill() {
	close(p.done)
	p.mu.Lock()
	if p.command != nil {
		p.signal(p.command, syscall.SIGKILL)
	}
	p.mu.Unlock()
	p.wait.Wait()
}
