package soaker

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/auditor"
)

// process is a running program. Its methods must be called from one goroutine.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed once the process has exited.
	done chan struct{}

	killed, terminating, paused bool
	// graceStart is when SIGTERM was sent or, if later, when a paused process was resumed.
	graceStart time.Time
}

// spawner starts processes that do not outlive the soak, however it ends. With Pdeathsig the kernel
// kills a process when the thread that started it ends, so one thread that lives as long as the
// soak starts them all.
type spawner struct{ starts chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.starts {
			start()
		}
	}()
	return s
}

// start starts a program and appends its output to a log file. It returns an error if the file
// cannot be opened or the program cannot be started.
func (s *spawner) start(name, logPath string, argv ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log of a process")
	}
	defer func() { _ = log.Close() }()
	p := &process{name: name, cmd: exec.CommandContext(context.Background(), argv[0], argv[1:]...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2") // Limits the load of the many processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	s.starts <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // The error is in ProcessState too.
	}()
	return p, nil
}

// signal sends a signal to the process, if it is alive. It ignores errors because the process may
// exit in between.
func (p *process) signal(sig syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL.
func (p *process) kill() {
	p.killed = true
	p.signal(syscall.SIGKILL)
}

// terminate sends SIGTERM, once.
func (p *process) terminate() {
	if !p.terminating {
		p.terminating, p.graceStart = true, time.Now()
		p.signal(syscall.SIGTERM)
	}
}

// setPaused sends SIGSTOP or SIGCONT if the state changes.
func (p *process) setPaused(on bool) {
	switch {
	case on && !p.paused:
		p.signal(syscall.SIGSTOP)
	case !on && p.paused:
		p.signal(syscall.SIGCONT)
		p.graceStart = time.Now()
	}
	p.paused = on
}

// exit returns how the process ended, which must have exited.
func (p *process) exit() auditor.Exit {
	e := auditor.Exit{Process: p.name, At: time.Now(), Status: p.cmd.ProcessState.String(), Killed: p.killed, StopRequested: p.terminating, OK: p.cmd.ProcessState.Success()}
	if p.terminating {
		e.Took = time.Since(p.graceStart)
	}
	return e
}
