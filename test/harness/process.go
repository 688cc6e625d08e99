package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is a started program.
type process struct {
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// processSpec describes a process to start.
type processSpec struct {
	name, program string
	descriptors   int // how many it may open; 0 for as many as the test
}

// command returns the command of the process. A shell that becomes the program sets the limit.
func (s processSpec) command(f *Fleet, args []string) *exec.Cmd {
	path := f.Spec.Programs.Path(s.program)
	if s.descriptors == 0 {
		return exec.Command(path, args...)
	}
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, s.descriptors)
	return exec.Command("/bin/sh", append([]string{"-c", limited, path}, args...)...)
}

func (p *process) start(f *Fleet, spec processSpec, args ...string) error {
	log, err := f.logFile(spec.name)
	if err != nil {
		return errors.Wrapf(err, "open log of %s", spec.name)
	}
	defer func() { _ = log.Close() }()
	cmd := spec.command(f, args)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", spec.name)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.ended = ended
	return nil
}

// Signal sends the process a signal.
func (p *process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("signal a process that was not started")
	}
	return p.cmd.Process.Signal(signal)
}

// suspendTimeout bounds the wait until all threads of a process are stopped after SIGSTOP.
const suspendTimeout = 10 * time.Second

// Suspend suspends the process with SIGSTOP, as a paused host would, and waits until all its threads are
// stopped: on a busy machine they continue to run for a while after the signal.
func (p *process) Suspend() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(suspendTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		stopped, err := allStopped(p.Pid())
		if err != nil {
			return errors.Wrap(err, "read thread states")
		}
		if stopped {
			return nil
		}
	}
	return errors.Errorf("process %d still has running threads %s after SIGSTOP", p.Pid(), suspendTimeout)
}

// allStopped reports whether every thread of the process is stopped.
func allStopped(pid int) (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return false, err
		}
		// The state follows the name, which is in parentheses.
		_, rest, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(rest, "T") {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Resume resumes a suspended process.
func (p *process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Wait waits until the process has ended and reports whether it ended in time.
func (p *process) Wait(within time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (p *process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		p.Wait(startTimeout)
	}
}

// Pid returns the process id.
func (p *process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// WaitListening waits until the address accepts connections.
func WaitListening(address string) error {
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("nothing listens on %s", address)
}
